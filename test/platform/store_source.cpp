// Tests of what an instance reads of the store beside the tables that it watches.
#include "store_source.hpp"

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"
#include "process/child_process.hpp"
#include "standin/fleet_store.hpp"
#include "standin/hosted.hpp"

using namespace mangovane;
using namespace mangovane::platform;

namespace
{

class no_output final : public log_output
{
public:
    [[nodiscard]] std::size_t write(std::string_view bytes) override { return bytes.size(); }
};

/// An instance with its source, before a store that runs inside the test.
struct sourced_instance
{
    sourced_instance()
    {
        options.name = "127.0.0.1";
        options.domain = "ikeja-a";
        options.peer_advertise = "127.0.0.1:7000";
        options.store = store_host.address();
        source = std::make_unique<store_source>(io, feed, options);
        thread = std::thread{[this] { io.run(); }};
    }
    ~sourced_instance()
    {
        io.stop();
        thread.join();
    }

    /// Calls to the store that a tick leads to.
    std::uint64_t calls_of_tick(time_point now)
    {
        const auto before = store.calls();
        source->tick(now);
        std::this_thread::sleep_for(milliseconds{200});
        return store.calls() - before;
    }

    standin::fleet_store store;
    standin::hosted store_host{[this](const standin::request& req, standin::reply& rep)
                               { return store.handle(req, rep); }};
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
        io.get_executor()};
    test::recording_sink sink;
    forward_core core{test::make_options("127.0.0.1", "ikeja-a"), sink, &to_settings, test::start};
    no_output output;
    event_log log{output, log_limits{}, clock::now()};
    fleet_feed feed{core, log};
    forward_router_options options;
    std::unique_ptr<store_source> source;
    std::thread thread;
};

} // namespace

TEST_CASE("an instance that others tell what the store holds")
{
    sourced_instance it;
    it.source->set_reading(false);
    const auto now = clock::now();

    SUBCASE("registers itself and reads the list of instances once")
    {
        // Not started: nothing is watched, so that each call belongs to a tick.
        CHECK(it.calls_of_tick(now) == 2);
        CHECK(it.calls_of_tick(now + seconds{60}) == 0);

        SUBCASE("until it has to read for the others")
        {
            it.source->set_reading(true);
            std::this_thread::sleep_for(milliseconds{200});
            it.source->set_reading(false);
            std::this_thread::sleep_for(milliseconds{1500});
            CHECK(it.calls_of_tick(now + seconds{90}) == 0);
        }
    }
    SUBCASE("reads the list again when the store did not answer")
    {
        it.store.set_faults({.down = true});
        CHECK(it.calls_of_tick(now) == 2);
        it.store.set_faults({});
        CHECK(it.calls_of_tick(now + seconds{60}) == 2);
        CHECK(it.calls_of_tick(now + seconds{120}) == 0);
    }
}
