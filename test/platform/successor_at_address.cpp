// Guards against streams of a crashed endpoint that reach the caller as complete because another
// process accepts connections at its address by the time the end of the stream is judged.
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/endpoint_process.hpp"
#include "platform/raw_caller.hpp"
#include "platform/router_fleet.hpp"
#include "platform/store_text.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr int stream_count = 8;
constexpr milliseconds time_to_register{1000};
constexpr milliseconds start_timeout{2000};
constexpr milliseconds read_timeout{4000};

/// Between two events, and between the last event and a crash.
constexpr milliseconds event_interval{150};

/// Below the time after which callers and deadlines would end the streams.
constexpr milliseconds pause_time{800};

constexpr std::string_view end_of_stream = "0\r\n\r\n";

std::string id_of(int n)
{
    return absl::StrCat("stream-", n);
}

/// A router whose callers have streams of one endpoint, without a length, and a process that can
/// follow the endpoint at its address.
class running_streams
{
public:
    explicit running_streams(const std::string& route) : fleet_{1}
    {
        REQUIRE(fleet_.await_ready(0));
        put_entry("engine", "dictamen");
        std::this_thread::sleep_for(time_to_register);
        for (int n = 0; n != stream_count; ++n)
        {
            callers_.push_back(std::make_unique<raw_caller>(fleet_.address(0, 0)));
            callers_.back()->send(request_text("POST", route, id_of(n),
                                               "X-Prefix-Hash: aa:100\r\nConnection: close\r\n"));
        }
        for (int n = 0; n != stream_count; ++n)
        {
            REQUIRE(eventually([&] { return first_.send_event(id_of(n)); }, start_timeout));
        }
        send_events();
    }

    void send_events()
    {
        std::this_thread::sleep_for(event_interval);
        for (int n = 0; n != stream_count; ++n)
        {
            first_.send_event(id_of(n));
        }
        std::this_thread::sleep_for(event_interval);
    }

    void end_streams()
    {
        for (int n = 0; n != stream_count; ++n)
        {
            first_.send_event(id_of(n));
            first_.end(id_of(n));
        }
    }

    void put_entry(const std::string& name, const std::string& service)
    {
        fleet_.store.put(
            "servers", name,
            entry_text({service, first_.address(), "bogota-a", "ready", milliseconds{0}}));
    }
    void remove_entry() { fleet_.store.remove("servers", "engine"); }

    void kill() { first_.kill(); }
    void replace() { REQUIRE(second_.take_over(first_)); }
    void freeze() { fleet_.processes[0]->signal(SIGSTOP); }
    void wake() { fleet_.processes[0]->signal(SIGCONT); }

    /// How many streams reached their callers as complete.
    [[nodiscard]] int complete()
    {
        int result = 0;
        for (const auto& it : callers_)
        {
            result += it->read_all(read_timeout).ends_with(end_of_stream) ? 1 : 0;
        }
        return result;
    }

private:
    endpoint_process first_;
    endpoint_process second_;
    router_fleet fleet_;
    std::vector<std::unique_ptr<raw_caller>> callers_;
};

} // namespace

TEST_CASE(
    "an endpoint that crashes in the middle of its streams and has a successor at its address")
{
    running_streams streams{"review"};

    SUBCASE("at once has completed none")
    {
        SUBCASE("under the same name")
        {
            streams.kill();
            streams.replace();
        }
        SUBCASE("under another name")
        {
            streams.kill();
            streams.replace();
            streams.remove_entry();
            streams.put_entry("engine-2", "dictamen");
        }
        SUBCASE("of another service")
        {
            streams.kill();
            streams.replace();
            streams.remove_entry();
            streams.put_entry("desk", "ventanilla");
        }
    }
    SUBCASE("while the router is paused has completed none")
    {
        streams.freeze();
        SUBCASE("and the successor has come at once")
        {
            streams.kill();
            streams.replace();
            std::this_thread::sleep_for(pause_time);
        }
        SUBCASE("and the successor has come later")
        {
            streams.kill();
            std::this_thread::sleep_for(pause_time);
            streams.replace();
        }
        SUBCASE("and the entry has changed meanwhile")
        {
            streams.kill();
            streams.remove_entry();
            streams.replace();
            streams.put_entry("engine-2", "dictamen");
            std::this_thread::sleep_for(pause_time);
        }
        streams.wake();
    }
    SUBCASE("and whose router is paused after the crash has completed none")
    {
        streams.kill();
        streams.replace();
        streams.freeze();
        std::this_thread::sleep_for(pause_time);
        streams.wake();
    }
    CHECK(streams.complete() == 0);
}

TEST_CASE("an endpoint that completes its streams and lives on")
{
    running_streams streams{"review"};

    SUBCASE("has completed all while the router runs")
    {
        streams.end_streams();
    }
    SUBCASE("has completed all while the router is paused")
    {
        streams.freeze();
        streams.end_streams();
        std::this_thread::sleep_for(pause_time);
        streams.wake();
    }
    SUBCASE("has completed all, also if its entry is removed")
    {
        streams.remove_entry();
        streams.end_streams();
    }
    CHECK(streams.complete() == stream_count);
}
