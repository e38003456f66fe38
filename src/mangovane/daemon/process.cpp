// Implementation of the setup shared by the daemons.
#include "mangovane/daemon/process.hpp"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

namespace mangovane
{

namespace
{

constexpr int large_block_bytes = 128 * 1024;

} // namespace

member make_self(const std::string& name, const std::string& domain, const std::string& address)
{
    const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
    member result;
    result.id = instance_id::of(name);
    result.epoch =
        static_cast<incarnation>(std::chrono::duration_cast<milliseconds>(unix_time).count());
    result.name = name;
    result.address = address;
    result.domain = domain_id::of(domain);
    return result;
}

peer_network_options make_peer_options(const member& self, const std::string& cluster_key)
{
    peer_network_options result;
    result.id = self.id;
    result.epoch = self.epoch;
    result.name = self.name;
    result.address = self.address;
    result.cluster_key = cluster_key;
    return result;
}

std::size_t descriptor_limit(std::uint32_t stated)
{
    rlimit own{};
    ::getrlimit(RLIMIT_NOFILE, &own);
    const std::size_t limit{own.rlim_cur};
    return stated == 0 ? limit : std::min<std::size_t>(limit, stated);
}

void return_large_blocks()
{
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

void run_threads(boost::asio::io_context& io, std::uint32_t count)
{
    std::vector<std::thread> threads;
    for (std::uint32_t n = 1; n < count; ++n)
    {
        threads.emplace_back([&io] { io.run(); });
    }
    io.run();
    for (auto& it : threads)
    {
        it.join();
    }
}

} // namespace mangovane
