// Tests of the calls to the store besides the table watches: registering the instance and listing
// the instances. Calls that go on after the first success would load the store from every instance.
#include "store_source.hpp"

#include <algorithm>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"
#include "platform/store_text.hpp"
#include "process/child_process.hpp"
#include "standin/fleet_store.hpp"
#include "standin/hosted_server.hpp"

using namespace mangovane;
using namespace mangovane::platform;

namespace
{

class no_output final : public log_output
{
public:
    [[nodiscard]] std::size_t write(std::string_view bytes) override { return bytes.size(); }
};

class kept_output final : public log_output
{
public:
    [[nodiscard]] std::size_t write(std::string_view bytes) override
    {
        text.append(bytes);
        return bytes.size();
    }

    std::string text;
};

/// A store source with its instance, against a stand-in store inside the test process.
struct source_fixture
{
    source_fixture()
    {
        options.name = "127.0.0.1";
        options.domain = "ikeja-a";
        options.peer_advertise = "127.0.0.1:7000";
        options.store = store_host.address();
        source = std::make_unique<store_source>(io, discovery, options);
        thread = std::thread{[this] { io.run(); }};
    }
    ~source_fixture()
    {
        io.stop();
        thread.join();
    }

    /// Number of calls to the store caused by one tick.
    std::uint64_t calls_of_tick(time_point now)
    {
        const auto before = store.calls();
        source->tick(now);
        std::this_thread::sleep_for(milliseconds{200});
        return store.calls() - before;
    }

    standin::fleet_store store;
    standin::hosted_server store_host{[this](const standin::request& req, standin::reply& rep)
                                      { return store.handle(req, rep); }};
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
        io.get_executor()};
    test::recording_sink sink;
    forward_core core{test::make_options("127.0.0.1", "ikeja-a"), sink, &decode_settings,
                      test::start};
    no_output output;
    event_log log{output, log_limits{}, clock::now()};
    discovery_sink discovery{core, log};
    forward_router_options options;
    std::unique_ptr<store_source> source;
    std::thread thread;
};

} // namespace

TEST_CASE("an instance that does not poll the store")
{
    source_fixture it;
    it.source->set_polling(false);
    const auto now = clock::now();

    SUBCASE("registers itself and reads the list of instances once")
    {
        // The source is not started, so no table is watched and each call belongs to a tick.
        CHECK(it.calls_of_tick(now) == 2);
        CHECK(it.calls_of_tick(now + seconds{60}) == 0);

        SUBCASE("also not again after it has polled for the others in between")
        {
            it.source->set_polling(true);
            std::this_thread::sleep_for(milliseconds{200});
            it.source->set_polling(false);
            std::this_thread::sleep_for(milliseconds{1500});
            CHECK(it.calls_of_tick(now + seconds{90}) == 0);
        }
    }
    SUBCASE("retries both if the store does not respond")
    {
        it.store.set_faults({.down = true});
        CHECK(it.calls_of_tick(now) == 2);
        it.store.set_faults({});
        // Well before the next regular list: until then it would not know the others.
        CHECK(it.calls_of_tick(now + seconds{5}) == 2);
        CHECK(it.calls_of_tick(now + seconds{120}) == 0);
    }
}

TEST_CASE("an entry that is ignored is one line of the log, whatever its name holds")
{
    // A line feed in the name of an entry began a line of its writer's own.
    test::recording_sink sink;
    forward_core core{test::make_options("127.0.0.1", "ikeja-a"), sink, &decode_settings,
                      test::start};
    kept_output output;
    event_log log{output, log_limits{}, test::start};
    discovery_sink discovery{core, log};
    discovery.on_invalid_entry("a\nevent=settings_in_force\r\x01\u00e9", "reason", test::start);
    log.flush(test::start);
    CHECK(std::count(output.text.begin(), output.text.end(), '\n') == 1);
    CHECK(output.text.ends_with(
        "event=entry_ignored entry=a\\nevent=settings_in_force\\r\\001\u00e9 reason=\"reason\"\n"));
}

namespace
{

constexpr std::uint64_t manifest_revision = 5;
constexpr std::uint64_t evacuation_revision = 9;
constexpr std::uint64_t read_revision = 20; ///< Of the store, after the evacuation was removed.

std::string manifest()
{
    return test::configuration_text({});
}

store_row manifest_row()
{
    return {"config", manifest(), manifest_revision, false};
}

settings_ptr evacuating_settings()
{
    const operator_state state{manifest(), {"ikeja-a"}};
    return *decode_settings(encode_operator_state(state), evacuation_revision);
}

} // namespace

TEST_CASE("a removed evacuation that only an instance that has just started has seen")
{
    // The first snapshot after a removal has no row of it. Its version was that of the older row,
    // so that all instances kept the domain out until the operators' next change.
    test::recording_sink sink;
    forward_core core{test::make_options("127.0.0.1", "ikeja-a"), sink, &decode_settings,
                      test::start};
    no_output output;
    event_log log{output, log_limits{}, clock::now()};
    discovery_sink discovery{core, log};
    operator_sink operators{discovery};
    const auto domains_out = [&] { return core.settings()->domains_out.size(); };
    operators.on_response();
    operators.on_snapshot({manifest_row()}, read_revision);
    REQUIRE(domains_out() == 0);

    SUBCASE("replaces the evacuation that other instances still report, with a higher version")
    {
        core.adopt_settings(evacuating_settings(), clock::now());
        REQUIRE(domains_out() == 1);
        operators.on_response();
        CHECK(domains_out() == 0);
        CHECK(core.settings()->stamp.version == read_revision);

        SUBCASE("once")
        {
            operators.on_response();
            CHECK(core.settings()->stamp.version == read_revision);
        }
    }
    SUBCASE("also if the instance resumes its reading later")
    {
        core.adopt_settings(evacuating_settings(), clock::now());
        CHECK(operators.resume_revision() == read_revision);
        CHECK(domains_out() == 0);
    }
    SUBCASE("gives way to an evacuation that was written after the snapshot")
    {
        const operator_state state{manifest(), {"ikeja-a"}};
        core.adopt_settings(*decode_settings(encode_operator_state(state), read_revision + 1),
                            clock::now());
        operators.on_response();
        CHECK(domains_out() == 1);
        CHECK(operators.resume_revision() == read_revision + 1);
    }
    SUBCASE("does not raise the version of equal settings")
    {
        const operator_state state{manifest(), {}};
        core.adopt_settings(*decode_settings(encode_operator_state(state), evacuation_revision),
                            clock::now());
        operators.on_response();
        CHECK(core.settings()->stamp.version == evacuation_revision);
    }
}

namespace
{

/// An operator sink with its instance, and the rows that the operators write.
struct operator_fixture
{
    operator_fixture() = default;

    std::uint64_t content() { return core.settings()->stamp.content; }
    std::size_t domains_out() { return core.settings()->domains_out.size(); }

    test::recording_sink sink;
    forward_core core{test::make_options("127.0.0.1", "ikeja-a"), sink, &decode_settings,
                      test::start};
    no_output output;
    event_log log{output, log_limits{}, clock::now()};
    discovery_sink discovery{core, log};
    operator_sink operators{discovery};
};

store_row config_row(std::uint64_t version, store_revision revision)
{
    return {"config", test::configuration_text({.version = version}), revision, false};
}

store_row evacuation_row(store_revision revision, bool removed = false)
{
    return {"evacuate/ikeja-a", "{}", revision, removed};
}

} // namespace

TEST_CASE("operators' rows in a store that comes back from an older copy")
{
    // A change after the return was ignored until the store had passed its revision from before.
    operator_fixture it;
    it.operators.on_snapshot({config_row(1, 2)}, 10);
    it.operators.on_changes({config_row(2, 11)}, 11);
    it.operators.on_changes({evacuation_row(12)}, 12);
    REQUIRE(it.content() == 2);
    REQUIRE(it.domains_out() == 1);

    SUBCASE("what is in force holds, and the next change takes effect")
    {
        const auto before = it.core.settings();
        it.operators.on_snapshot({config_row(1, {1, 2})}, {1, 5});
        CHECK(it.core.settings() == before);
        it.operators.on_changes({config_row(3, {1, 6})}, {1, 6});
        CHECK(it.content() == 3);
        CHECK(it.domains_out() == 1);
        CHECK(it.core.settings()->stamp.version == store_revision{1, 6});

        SUBCASE("until the operators write the evacuation again and remove it")
        {
            it.operators.on_changes({evacuation_row({1, 7})}, {1, 7});
            it.operators.on_changes({evacuation_row({1, 8}, true)}, {1, 8});
            CHECK(it.domains_out() == 0);
        }
        SUBCASE("also when the table is read as a whole once more")
        {
            it.operators.on_snapshot({config_row(3, {1, 6})}, {1, 9});
            CHECK(it.domains_out() == 1);
        }
    }
    SUBCASE("equal content under another revision changes nothing")
    {
        const auto before = it.core.settings();
        it.operators.on_snapshot({config_row(1, {1, 2})}, {1, 5});
        it.operators.on_changes({config_row(2, {1, 6}), evacuation_row({1, 7})}, {1, 7});
        CHECK(it.core.settings() == before);
    }
    SUBCASE("an evacuation that was removed is not ordered again by the copy")
    {
        it.operators.on_changes({evacuation_row(13, true)}, 13);
        it.operators.on_snapshot({config_row(2, {1, 11}), evacuation_row({1, 12})}, {1, 12});
        CHECK(it.domains_out() == 0);
        it.operators.on_changes({evacuation_row({1, 14})}, {1, 14});
        CHECK(it.domains_out() == 1);
    }
    SUBCASE("an instance that starts with the copy takes over what others have in force")
    {
        operator_fixture fresh;
        fresh.operators.on_snapshot({config_row(1, {1, 2})}, {1, 5});
        CHECK(fresh.content() == 1);
        CHECK(it.core.adopt_settings(fresh.core.settings(), clock::now()) ==
              adopt_result::not_newer);
        CHECK(fresh.core.adopt_settings(it.core.settings(), clock::now()) == adopt_result::adopted);
        fresh.operators.on_response();
        fresh.operators.on_changes({config_row(3, {1, 6})}, {1, 6});
        CHECK(fresh.content() == 3);
        CHECK(fresh.domains_out() == 1);
    }
    SUBCASE("two eras that follow each other at once")
    {
        it.operators.on_snapshot({config_row(1, {1, 2})}, {1, 5});
        it.operators.on_snapshot({config_row(1, {2, 2})}, {2, 3});
        CHECK(it.content() == 2);
        it.operators.on_changes({config_row(3, {2, 4})}, {2, 4});
        CHECK(it.content() == 3);
    }
}

TEST_CASE("forty changes of the configuration, followed by copies of many ages")
{
    constexpr std::uint64_t last = 41;
    for (std::uint64_t age = 0; age != last; ++age)
    {
        CAPTURE(age);
        operator_fixture it;
        it.operators.on_snapshot({config_row(1, 2)}, 2);
        for (std::uint64_t version = 2; version <= last; ++version)
        {
            it.operators.on_changes({config_row(version, version + 1)}, version + 1);
        }
        const auto copied = last - age;
        it.operators.on_snapshot({config_row(copied, {1, copied + 1})}, {1, copied + 1});
        CHECK(it.content() == last);
        it.operators.on_changes({config_row(last + 1, {1, copied + 2})}, {1, copied + 2});
        CHECK(it.content() == last + 1);
    }
}
