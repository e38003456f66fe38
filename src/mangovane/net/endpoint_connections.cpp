// Implementation of the register of connections to endpoints.
#include "mangovane/net/endpoint_connections.hpp"

#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace mangovane
{

namespace
{

connection_sample sample_of(std::uint64_t id, int socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    int unread = 0;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        ::ioctl(socket, FIONREAD, &unread) != 0)
    {
        return {.id = id};
    }
    return {id, info.tcpi_state == TCP_ESTABLISHED, static_cast<std::uint32_t>(unread),
            milliseconds{info.tcpi_last_data_recv}};
}

} // namespace

std::vector<connection_sample> endpoint_connections::sample(const std::string& address)
{
    std::vector<connection_sample> result;
    entries_.find(address,
                  [&](const std::vector<entry>& entries)
                  {
                      for (const auto& it : entries)
                      {
                          result.push_back(sample_of(it.id, it.socket));
                      }
                  });
    return result;
}

std::uint64_t endpoint_connections::add(const std::string& address, int socket)
{
    return entries_.with_entry(address,
                               [&](std::vector<entry>& entries)
                               {
                                   const auto id = ++last_id_;
                                   entries.push_back({id, socket});
                                   return id;
                               });
}

void endpoint_connections::remove(const std::string& address, std::uint64_t id)
{
    entries_.with_shard(address,
                        [&](auto& shard)
                        {
                            const auto at = shard.find(address);
                            std::erase_if(at->second, [&](const entry& it) { return it.id == id; });
                            if (at->second.empty())
                            {
                                shard.erase(at);
                            }
                        });
}

connection_registration::connection_registration(std::shared_ptr<endpoint_connections> connections,
                                                 std::string address,
                                                 int socket)
    : connections_{std::move(connections)}, address_{std::move(address)}, id_{connections_->add(
                                                                              address_, socket)}
{}

connection_registration::~connection_registration()
{
    connections_->remove(address_, id_);
}

} // namespace mangovane
