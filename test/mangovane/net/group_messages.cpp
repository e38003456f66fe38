// Tests of messages to many instances. They guard against a copy of the endpoint list for each
// receiver, which took more than 100 MB at 300 instances and 3,000 endpoints, and against queues
// whose limit did not count the rows of the lists in them.
#include "mangovane/net/peer_network.hpp"

#include <atomic>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <doctest/doctest.h>

using namespace mangovane;
namespace asio = boost::asio;

namespace
{

/// Far above the time that loopback needs, even on a busy machine.
constexpr seconds wait_limit{10};

constexpr std::size_t list_rows = 3000;
constexpr std::size_t max_shared_list_bytes = 8 * 1024 * 1024;

std::vector<endpoint_update> make_list(std::uint64_t revision)
{
    constexpr auto parts = static_cast<std::uint16_t>(list_rows / max_update_rows);
    std::vector<endpoint_update> result;
    for (std::uint16_t part = 0; part != parts; ++part)
    {
        endpoint_update it{0, revision, part, parts, {}};
        for (std::size_t n = 0; n != max_update_rows; ++n)
        {
            endpoint_row row;
            row.name = "machine-" + std::to_string(part * max_update_rows + n);
            row.domain_name = "domain";
            row.address = "10.0.0.1:8000";
            row.revision = revision;
            it.rows.push_back(std::move(row));
        }
        result.push_back(std::move(it));
    }
    return result;
}

std::vector<instance_id> make_ids(std::size_t count)
{
    std::vector<instance_id> result;
    for (std::size_t n = 0; n != count; ++n)
    {
        result.push_back(instance_id{n + 100});
    }
    return result;
}

struct counting_peer
{
    counting_peer(asio::io_context& io, const std::string& name)
        : id{instance_id::of(name)}, network{io,
                                             {id, 5, name, "", "key", true},
                                             [this](instance_id, const message&) { ++received; }}
    {
        REQUIRE(network.listen("127.0.0.1:0").ok());
    }

    instance_id id;
    std::atomic<std::size_t> received{0};
    peer_network network;
};

template <class Condition>
bool wait_until(Condition holds)
{
    for (const auto end = clock::now() + wait_limit; clock::now() < end;)
    {
        if (holds())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    return false;
}

} // namespace

TEST_CASE("a list of 3,000 endpoints")
{
    asio::io_context io;
    const auto work = asio::make_work_guard(io);
    counting_peer reader{io, "reader"};

    SUBCASE("is held once for 300 receivers")
    {
        for (const auto& it : make_list(1))
        {
            reader.network.send_to_group({make_ids(300), it});
        }
        const auto once = reader.network.list_bytes();
        CHECK(once > 100 * 1024);
        CHECK(once < 1024 * 1024);
        CHECK(reader.network.traffic().messages_dropped == 0);

        SUBCASE("and only in its newest version for receivers that lag")
        {
            for (std::uint64_t revision = 2; revision != 40; ++revision)
            {
                for (const auto& it : make_list(revision))
                {
                    reader.network.send_to_group({make_ids(300), it});
                }
                REQUIRE(reader.network.list_bytes() < once + once / 4);
            }
            CHECK(reader.network.traffic().messages_dropped > 0);
        }
        SUBCASE("and not at all after the links were closed")
        {
            reader.network.close();
            CHECK(reader.network.list_bytes() == 0);
        }
    }
    SUBCASE("is dropped for some when many receivers lag at different versions")
    {
        const auto ids = make_ids(40);
        for (std::size_t n = 0; n != ids.size(); ++n)
        {
            for (const auto& it : make_list(n + 1))
            {
                reader.network.send_to_group({{ids[n]}, it});
            }
        }
        CHECK(reader.network.list_bytes() <= max_shared_list_bytes);
        CHECK(reader.network.traffic().messages_dropped > 0);
    }
    SUBCASE("sent to one receiver again and again does not pass the limit of its queue")
    {
        for (std::uint64_t revision = 1; revision != 10; ++revision)
        {
            for (const auto& it : make_list(revision))
            {
                reader.network.send({instance_id{100}, it});
            }
        }
        CHECK(reader.network.traffic().messages_dropped > 0);
    }
    SUBCASE("arrives whole at each receiver, and the memory is freed")
    {
        counting_peer a{io, "a"};
        counting_peer b{io, "b"};
        for (auto* it : {&a, &b})
        {
            reader.network.set_address(it->id, "127.0.0.1:" + std::to_string(it->network.port()));
        }
        std::thread thread{[&io] { io.run(); }};
        const auto list = make_list(1);
        for (const auto& it : list)
        {
            reader.network.send_to_group({{a.id, b.id}, it});
        }
        reader.network.send_to_group({{a.id, b.id}, load_digest{}});
        CHECK(wait_until([&] { return a.received == list.size() + 1; }));
        CHECK(wait_until([&] { return b.received == list.size() + 1; }));
        CHECK(wait_until([&] { return reader.network.list_bytes() == 0; }));
        io.stop();
        thread.join();
    }
}
