// Tests of the peer network: two instances on loopback. They guard against messages that are lost,
// reordered or read by another instance than the intended one, against connections that are
// never replaced after a failure, and against a timer that closes a connection that was made.
#include "mangovane/net/peer_network.hpp"

#include <condition_variable>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/paused_context.hpp"
#include "mangovane/net/raw_endpoint.hpp"

using namespace mangovane;
namespace asio = boost::asio;
using mangovane::test::full_endpoint;
using mangovane::test::paused_context;

namespace
{

/// Far above the time that loopback needs, even on a busy machine.
constexpr seconds wait_limit{10};

/// Records the messages that one network receives.
class message_recorder
{
public:
    void add(instance_id from, const message& msg)
    {
        const std::lock_guard lock{mutex_};
        messages_.emplace_back(from, msg);
        changed_.notify_all();
    }

    bool wait_for(std::size_t count)
    {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(lock, wait_limit, [&] { return messages_.size() >= count; });
    }

    std::vector<std::pair<instance_id, message>> all()
    {
        const std::lock_guard lock{mutex_};
        return messages_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::pair<instance_id, message>> messages_;
};

peer_network_options options(const std::string& name, const std::string& key)
{
    return {instance_id::of(name), 5, name, "", key, true};
}

struct peer
{
    peer(asio::io_context& io, const std::string& name, const std::string& key)
        : id{instance_id::of(name)}, network{io, options(name, key),
                                             [this](instance_id from, const message& msg)
                                             { received.add(from, msg); }}
    {
        REQUIRE(network.listen("127.0.0.1:0").ok());
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(network.port()); }

    message_recorder received;
    instance_id id;
    peer_network network;
};

class io_threads
{
public:
    explicit io_threads(asio::io_context& io) : io_{io}, work_{io.get_executor()}
    {
        for (auto& it : threads_)
        {
            it = std::thread{[&io] { io.run(); }};
        }
    }

    ~io_threads()
    {
        io_.stop();
        for (auto& it : threads_)
        {
            it.join();
        }
    }

private:
    asio::io_context& io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::array<std::thread, 2> threads_;
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

TEST_CASE("two instances")
{
    // Destruction order: threads, then peers, then the context.
    asio::io_context io;
    std::unique_ptr<peer> a;
    std::unique_ptr<peer> b;
    const io_threads run{io};
    a = std::make_unique<peer>(io, "a", "key");

    SUBCASE("exchange messages although only one was given the other's address")
    {
        b = std::make_unique<peer>(io, "b", "key");
        a->network.set_address(b->id, b->address());
        const message query = load_query{7, endpoint_id{8}};
        a->network.send({b->id, query});
        REQUIRE(b->received.wait_for(1));
        CHECK(b->received.all().front() == std::pair{a->id, query});
        const message answer = load_answer{7, endpoint_id{8}, 1, 2, 3};
        b->network.send({a->id, answer});
        REQUIRE(a->received.wait_for(1));
        CHECK(a->received.all().front() == std::pair{b->id, answer});

        SUBCASE("in order and batched, not with one frame per message")
        {
            const auto frames = a->network.traffic().frames_sent;
            for (std::uint64_t n = 0; n != 5000; ++n)
            {
                a->network.send({b->id, load_query{n, endpoint_id{8}}});
            }
            REQUIRE(b->received.wait_for(5001));
            const auto all = b->received.all();
            for (std::uint64_t n = 0; n != 5000; ++n)
            {
                REQUIRE(std::get<load_query>(all[n + 1].second).ticket == n);
            }
            CHECK(a->network.traffic().frames_sent - frames < 500);
            CHECK(wait_until(
                [&] {
                    return b->network.traffic().bytes_received == a->network.traffic().bytes_sent;
                }));
        }

        SUBCASE("including settings of 1 MiB")
        {
            const message big = settings_content{{1, 2}, std::string(1024 * 1024, 'x')};
            a->network.send({b->id, big});
            REQUIRE(b->received.wait_for(2));
            CHECK(b->received.all().back().second == big);
        }

        SUBCASE("lose messages while a peer is blocked, and none after that")
        {
            b->network.block({a->id});
            a->network.send({b->id, load_query{1, endpoint_id{8}}});
            const auto before = b->network.traffic().frames_received;
            REQUIRE(wait_until([&] { return b->network.traffic().frames_received > before; }));
            std::this_thread::sleep_for(milliseconds{50});
            CHECK(b->received.all().size() == 1);
            b->network.block({});
            a->network.send({b->id, load_query{2, endpoint_id{8}}});
            REQUIRE(b->received.wait_for(2));
            CHECK(std::get<load_query>(b->received.all().back().second).ticket == 2);
        }
    }

    SUBCASE("with different keys refuse each other's connections")
    {
        b = std::make_unique<peer>(io, "b", "wrong");
        b->network.set_address(a->id, a->address());
        b->network.send({a->id, load_query{7, endpoint_id{8}}});
        REQUIRE(wait_until([&] { return a->network.traffic().connections_refused == 1; }));
        CHECK(a->received.all().empty());
        CHECK(b->received.all().empty());
    }

    SUBCASE("reject a connection for another instance, as after an address was reused")
    {
        b = std::make_unique<peer>(io, "b", "key");
        b->network.set_address(instance_id::of("c"), a->address());
        b->network.send({instance_id::of("c"), load_query{7, endpoint_id{8}}});
        REQUIRE(wait_until([&] { return a->network.traffic().connections_refused == 1; }));
        CHECK(a->received.all().empty());
    }

    SUBCASE("reconnect on request when the peer accepts connections but does not respond")
    {
        // Accepts connections and never reads from them.
        asio::ip::tcp::acceptor unresponsive{io, {asio::ip::make_address("127.0.0.1"), 0}};
        const auto c = instance_id::of("c");
        a->network.set_address(c,
                               "127.0.0.1:" + std::to_string(unresponsive.local_endpoint().port()));
        a->network.send({c, load_query{1, endpoint_id{8}}});
        const auto first = unresponsive.accept();
        a->network.send({c, load_query{2, endpoint_id{8}}, true});
        std::atomic<bool> second{false};
        unresponsive.async_accept([&](boost::system::error_code ec, const asio::ip::tcp::socket&)
                                  { second = !ec; });
        CHECK(wait_until([&] { return second.load(); }));
    }

    SUBCASE("close a connection that does not send frames")
    {
        asio::ip::tcp::socket socket{io};
        socket.connect({asio::ip::make_address("127.0.0.1"), a->network.port()});
        const std::string text = "GET / HTTP/1.1\r\n\r\n";
        asio::write(socket, asio::buffer(text));
        REQUIRE(wait_until([&] { return a->network.traffic().connections_refused == 1; }));
    }

    SUBCASE("connect again after one was unreachable")
    {
        a->network.set_address(instance_id::of("b"), "127.0.0.1:1");
        a->network.send({instance_id::of("b"), load_query{1, endpoint_id{8}}});
        std::this_thread::sleep_for(milliseconds{100});
        b = std::make_unique<peer>(io, "b", "key");
        a->network.set_address(b->id, b->address());
        a->network.send({b->id, load_query{2, endpoint_id{8}}});
        CHECK(b->received.wait_for(1));
    }
}

TEST_CASE("an instance that is paused while it connects to a peer")
{
    // Of `peer_link`.
    constexpr milliseconds connect_timeout{500};
    // After this the kernel sends the connection request again, which is then accepted.
    constexpr milliseconds kernel_retry_time{1000};
    constexpr std::uint64_t hello_and_message = 2;

    asio::io_context io{1};
    const auto work = asio::make_work_guard(io);
    peer a{io, "a", "key"};
    std::thread thread{[&io] { io.run(); }};
    full_endpoint c;
    const auto started_at = clock::now();
    const auto made_at = started_at + kernel_retry_time + milliseconds{200};
    a.network.set_address(instance_id::of("c"), c.address());
    a.network.send({instance_id::of("c"), load_query{1, endpoint_id{8}}});
    std::this_thread::sleep_for(connect_timeout / 2);
    c.make_room();

    SUBCASE("sends its message on the connection that was made before the timer was seen")
    {
        asio::post(io, [made_at] { std::this_thread::sleep_until(made_at); });
    }
    SUBCASE("sends its message on the connection that was made after the timer was seen")
    {
        const paused_context pause{io, started_at + connect_timeout + milliseconds{50}};
        std::this_thread::sleep_until(made_at);
    }
    CHECK(wait_until([&] { return a.network.traffic().frames_sent == hello_and_message; }));
    CHECK(a.network.traffic().messages_dropped == 0);
    io.stop();
    thread.join();
}
