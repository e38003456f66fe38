// Guards against whole streams that reach the caller as incomplete because their endpoint, which is
// leaving, has closed its listener and finishes what it has accepted; and against incomplete ones
// that reach the caller as whole because of the exception that this needs.
#include <csignal>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "mangovane/core/time.hpp"
#include "platform/endpoint_process.hpp"
#include "platform/raw_caller.hpp"
#include "platform/router_fleet.hpp"
#include "platform/store_text.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr int trial_count = 2;
constexpr milliseconds time_to_register{1000};
constexpr milliseconds start_timeout{2000};
constexpr milliseconds read_timeout{4000};

/// Between an action of an endpoint and the end of its stream.
constexpr milliseconds settle_time{300};

constexpr std::string_view end_of_stream = "0\r\n\r\n";
constexpr std::string_view last_event = "id: 2\ndata: x\n\n";

const std::string judged = "judged";
const std::string other = "other";

std::string stream_request(const std::string& id)
{
    return request_text("POST", "review", id, "X-Prefix-Hash: aa:100\r\nConnection: close\r\n");
}

/// What the endpoint and the router do after both streams have begun.
struct played_trial
{
    router_fleet& fleet;
    endpoint_process& endpoint;

    /// The last event of the judged stream, and its end.
    void finish() const
    {
        endpoint.send_event(judged);
        endpoint.send_event(judged);
        endpoint.end(judged);
    }
};

struct scenario
{
    std::function<void(const played_trial&)> act;
    bool alone{false}; ///< The endpoint runs no other stream.
    bool chunked{false};
    int other_receive_bytes{0}; ///< See `raw_caller`.
};

/// How many of the judged streams reached the caller.
struct outcome
{
    int whole{0};    ///< All events.
    int complete{0}; ///< With the end of the response.

    bool operator==(const outcome&) const = default;
};

/// For the messages of failed checks.
doctest::String toString(const outcome& it)
{
    const auto text = absl::StrCat(it.whole, " whole, ", it.complete, " complete");
    return doctest::String{text.c_str()};
}

void play_trial(router_fleet& fleet,
                endpoint_process& endpoint,
                const scenario& plan,
                outcome& result)
{
    const auto entry = [&](const std::string& state)
    {
        fleet.store.put(
            "servers", "engine",
            entry_text({"dictamen", endpoint.address(), "bogota-a", state, milliseconds{0}}));
    };
    entry("ready");
    std::this_thread::sleep_for(time_to_register);
    raw_caller caller{fleet.address(0, 0)};
    caller.send(stream_request(judged));
    raw_caller second{fleet.address(0, 0), plan.other_receive_bytes};
    if (!plan.alone)
    {
        second.send(stream_request(other));
        REQUIRE(eventually([&] { return endpoint.send_event(other); }, start_timeout));
    }
    REQUIRE(eventually([&] { return endpoint.send_event(judged); }, start_timeout));
    plan.act({fleet, endpoint});
    const auto text = caller.read_all(read_timeout);
    result.whole += text.find(last_event) != std::string::npos ? 1 : 0;
    result.complete += text.ends_with(end_of_stream) ? 1 : 0;
    (void)second.read_all(milliseconds{0});
}

outcome play(const scenario& plan)
{
    std::vector<std::unique_ptr<endpoint_process>> endpoints;
    for (int n = 0; n != trial_count; ++n)
    {
        endpoints.push_back(std::make_unique<endpoint_process>(plan.chunked));
    }
    outcome result;
    for (const auto& it : endpoints)
    {
        router_fleet fleet{1};
        REQUIRE(fleet.await_ready(0));
        play_trial(fleet, *it, plan, result);
    }
    return result;
}

constexpr outcome all_complete{trial_count, trial_count};
constexpr outcome none_complete{trial_count, 0};

/// Only the first event has been sent.
constexpr outcome none_whole{0, 0};

void settle()
{
    std::this_thread::sleep_for(settle_time);
}

} // namespace

TEST_CASE("an endpoint that has closed its listener")
{
    scenario plan;

    SUBCASE("and finishes one stream while another goes on")
    {
        // The response has neither a length nor chunks, and the endpoint refuses connections, as
        // one does whose process was killed. The other stream shows that it was not.
        SUBCASE("has completed it")
        {
            plan.act = [](const played_trial& trial)
            {
                trial.endpoint.close_listener();
                settle();
                trial.finish();
            };
        }
        SUBCASE("has completed it, also right after it has closed the listener")
        {
            plan.act = [](const played_trial& trial)
            {
                trial.endpoint.close_listener();
                trial.finish();
            };
        }
        SUBCASE("has completed it, also if its entry in the store is draining")
        {
            plan.act = [](const played_trial& trial)
            {
                trial.fleet.store.put("servers", "engine",
                                      entry_text({"dictamen", trial.endpoint.address(), "bogota-a",
                                                  "draining", milliseconds{0}}));
                trial.endpoint.close_listener();
                settle();
                trial.finish();
            };
        }
        SUBCASE("has completed it, also if its entry in the store is gone")
        {
            plan.act = [](const played_trial& trial)
            {
                trial.fleet.store.remove("servers", "engine");
                trial.endpoint.close_listener();
                settle();
                trial.finish();
            };
        }
        SUBCASE("has completed it, also if the other one has an event every 30 ms")
        {
            plan.act = [](const played_trial& trial)
            {
                constexpr milliseconds event_interval{30};
                trial.endpoint.close_listener();
                settle();
                trial.finish();
                for (int n = 0; n != 30; ++n)
                {
                    std::this_thread::sleep_for(event_interval);
                    trial.endpoint.send_event(other);
                }
            };
        }
        SUBCASE("has completed it, also at a router that stops")
        {
            plan.act = [](const played_trial& trial)
            {
                trial.fleet.processes[0]->signal(SIGTERM);
                trial.endpoint.close_listener();
                settle();
                trial.finish();
            };
        }
        CHECK(play(plan) == all_complete);
    }
    SUBCASE("and finishes its last stream has not completed it, as nothing shows that it lives")
    {
        plan.alone = true;
        plan.act = [](const played_trial& trial)
        {
            trial.endpoint.close_listener();
            settle();
            trial.finish();
        };
        CHECK(play(plan) == none_complete);
    }
    SUBCASE("and finishes a stream in chunks has completed it, whatever follows")
    {
        plan.chunked = true;
        plan.alone = true;
        plan.act = [](const played_trial& trial)
        {
            trial.endpoint.close_listener();
            settle();
            trial.finish();
            trial.endpoint.exit();
        };
        CHECK(play(plan) == all_complete);
    }
    SUBCASE("and is killed")
    {
        // An exception for endpoints that are known to leave would pass these on as complete.
        SUBCASE("has completed none of several streams")
        {
            plan.act = [](const played_trial& trial)
            {
                trial.endpoint.close_listener();
                settle();
                trial.endpoint.kill();
            };
        }
        SUBCASE("has not completed one whose entry in the store is draining")
        {
            plan.act = [](const played_trial& trial)
            {
                trial.fleet.store.put("servers", "engine",
                                      entry_text({"dictamen", trial.endpoint.address(), "bogota-a",
                                                  "draining", milliseconds{0}}));
                trial.endpoint.close_listener();
                settle();
                trial.endpoint.kill();
            };
        }
        SUBCASE("has not completed one while bytes of another wait to be read")
        {
            // The kernel of the endpoint can't send the end of that connection, which looks alive.
            plan.other_receive_bytes = 4096;
            plan.act = [](const played_trial& trial)
            {
                trial.endpoint.close_listener();
                trial.endpoint.fill(other);
                trial.endpoint.kill();
            };
        }
        CHECK(play(plan) == none_whole);
    }
}

namespace
{

/// How long an endpoint goes on serving after it has announced that it leaves, and until the
/// instance knows of it.
constexpr milliseconds drain_time{2000};
constexpr milliseconds notice_time{300};
constexpr milliseconds event_interval{200};

/// An endpoint with several streams that leaves while they go on.
class leaving_trial
{
public:
    explicit leaving_trial(int stream_count) : fleet_{1, slow_streams()}
    {
        REQUIRE(fleet_.await_ready(0));
        put("ready");
        std::this_thread::sleep_for(time_to_register);
        for (int n = 0; n != stream_count; ++n)
        {
            callers_.push_back(std::make_unique<raw_caller>(fleet_.address(0, 0)));
            callers_.back()->send(long_request(absl::StrCat(judged, n)));
        }
        for (int n = 0; n != stream_count; ++n)
        {
            REQUIRE(eventually([&] { return endpoint_.send_event(absl::StrCat(judged, n)); },
                               start_timeout));
        }
    }

    void put(const std::string& state)
    {
        fleet_.store.put(
            "servers", "engine",
            entry_text({"dictamen", endpoint_.address(), "bogota-a", state, milliseconds{0}}));
    }
    void remove_entry() { fleet_.store.remove("servers", "engine"); }

    /// A further stream whose head says that the endpoint leaves.
    void announce_in_response()
    {
        endpoint_.announce_leaving();
        callers_.push_back(std::make_unique<raw_caller>(fleet_.address(0, 0)));
        callers_.back()->send(long_request(other));
        REQUIRE(eventually([&] { return endpoint_.send_event(other); }, start_timeout));
    }

    /// Events of all streams for a time.
    void serve_for(milliseconds time)
    {
        const auto end = clock::now() + time;
        while (clock::now() < end)
        {
            for (std::size_t n = 0; n != callers_.size(); ++n)
            {
                endpoint_.send_event(absl::StrCat(judged, n));
            }
            endpoint_.send_event(other);
            std::this_thread::sleep_for(event_interval);
        }
    }

    /// In the middle of a pause between two events.
    void kill()
    {
        serve_for(milliseconds{1});
        endpoint_.kill();
    }
    void finish() { endpoint_.finish(); }

    /// How many streams reached their callers as complete.
    [[nodiscard]] std::size_t complete()
    {
        std::size_t result = 0;
        for (const auto& it : callers_)
        {
            result += it->read_all(read_timeout).ends_with(end_of_stream) ? 1U : 0U;
        }
        return result;
    }
    [[nodiscard]] std::size_t stream_count() const { return callers_.size(); }

private:
    static fleet_params slow_streams()
    {
        fleet_params result;
        result.config.stream_timeout = milliseconds{8000};
        return result;
    }
    static std::string long_request(const std::string& id)
    {
        auto result = stream_request(id);
        const std::string_view deadline = "X-Deadline-Ms: 2500";
        return result.replace(result.find(deadline), deadline.size(), "X-Deadline-Ms: 8000");
    }

    endpoint_process endpoint_;
    router_fleet fleet_;
    std::vector<std::unique_ptr<raw_caller>> callers_;
};

} // namespace

namespace
{

/// The exit looks like a crash: the last streams end together with the process, and the address
/// refuses connections.
void play_departure(int stream_count)
{
    leaving_trial trial{stream_count};

    SUBCASE("has completed them once it has served for its time")
    {
        SUBCASE("after its entry was draining")
        {
            trial.put("draining");
        }
        SUBCASE("after its entry was removed")
        {
            trial.remove_entry();
        }
        SUBCASE("after a response said so")
        {
            trial.announce_in_response();
        }
        trial.serve_for(drain_time + notice_time);
        trial.finish();
        CHECK(trial.complete() == trial.stream_count());
    }
    SUBCASE("has not completed them if it exits sooner, which is a crash")
    {
        trial.put("draining");
        trial.serve_for(drain_time / 2);
        trial.finish();
        CHECK(trial.complete() == 0);
    }
    SUBCASE("has not completed them if its entry is ready")
    {
        trial.serve_for(drain_time + notice_time);
        trial.finish();
        CHECK(trial.complete() == 0);
    }
    SUBCASE("has not completed them if it is killed in the middle")
    {
        trial.put("draining");
        SUBCASE("after it has served for its time")
        {
            trial.serve_for(drain_time + notice_time);
        }
        SUBCASE("before")
        {
            trial.serve_for(drain_time / 2);
        }
        trial.kill();
        CHECK(trial.complete() == 0);
    }
}

} // namespace

TEST_CASE("an endpoint that leaves and exits after its last stream")
{
    play_departure(1);
}

TEST_CASE("an endpoint that leaves and exits after several streams that end together")
{
    play_departure(6);
}

TEST_CASE("an endpoint whose process ends")
{
    scenario plan;

    SUBCASE("right after the whole stream can't be told from one that ends in the middle")
    {
        SUBCASE("alone")
        {
            plan.alone = true;
        }
        SUBCASE("with another stream in progress")
        {
            plan.alone = false;
        }
        plan.act = [](const played_trial& trial)
        {
            trial.endpoint.send_event(judged);
            trial.endpoint.send_event_and_exit(judged);
        };
        CHECK(play(plan) == none_complete);
    }
    SUBCASE("some time after the stream has completed it if it still listened")
    {
        plan.alone = true;
        plan.act = [](const played_trial& trial)
        {
            trial.finish();
            settle();
            trial.endpoint.exit();
        };
        CHECK(play(plan) == all_complete);
    }
    SUBCASE("in the middle with several streams in progress has completed none")
    {
        plan.act = [](const played_trial& trial) { trial.endpoint.kill(); };
        CHECK(play(plan) == none_whole);
    }
}
