// Rollouts by real processes. Guards against a bad version that stays in use, gets more than its
// share or whose end no operator sees, and against a sound one that is not done by its deadline.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

#include <doctest/doctest.h>

#include "platform/cuttable_links.hpp"
#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr const char* service = "ventanilla";
constexpr seconds duration_of_order{10};

/// Bounds of the deployment.
constexpr double canary_share = 0.1;
constexpr double canary_tolerance = 50;
constexpr std::size_t bad_limit = 50; ///< Bad responses after which the rollback time begins.
constexpr milliseconds rollback_time{5000};

/// Until a verdict has reached the other instances.
constexpr milliseconds time_to_spread{700};

const std::string running_status = R"({"state":"running","to":"v2"})";
const std::string rolled_back_status = R"({"state":"rolled_back","to":"v2"})";

/// Sets the options of rollouts for processes that are started in its lifetime.
struct rollout_options
{
    rollout_options()
    {
        ::setenv("MANGOVANE_ROLLOUT_SHARE", "0.1", 1);
        ::setenv("MANGOVANE_ROLLOUT_TOLERANCE", "50", 1);
        ::setenv("MANGOVANE_ROLLBACK_MS", "5000", 1);
    }
    ~rollout_options()
    {
        for (const auto* it :
             {"MANGOVANE_ROLLOUT_SHARE", "MANGOVANE_ROLLOUT_TOLERANCE", "MANGOVANE_ROLLBACK_MS"})
        {
            ::unsetenv(it);
        }
    }
    rollout_options(const rollout_options&) = delete;
    rollout_options& operator=(const rollout_options&) = delete;
};

void write_version(router_fleet& fleet, const std::string& name, const std::string& version)
{
    const auto address = fleet.engines.at(name)->host.address();
    auto text = entry_text({service, address, "bogota-a", "ready", {}});
    text.replace(text.find("\"v1\""), 4, "\"" + version + "\"");
    fleet.store.put("servers", name, text);
}

/// An endpoint of a version, whose responses take `slowness` if it is set.
void add_engine(router_fleet& fleet,
                const std::string& name,
                const std::string& version,
                std::optional<milliseconds> slowness = std::nullopt)
{
    standin::fleet_engine_behaviour behaviour{name, {}};
    behaviour.work.delay = slowness.value_or(behaviour.work.delay);
    fleet.engines[name] = std::make_unique<hosted_engine>(behaviour);
    write_version(fleet, name, version);
}

void order(router_fleet& fleet)
{
    fleet.store.put("op", std::string{"rollout/"} + service,
                    R"({"service":"ventanilla","to":"v2","duration_s":)" +
                        std::to_string(duration_of_order.count()) + "}");
}

std::string status_of(const router_fleet& fleet)
{
    return fleet.store.value_of("status", std::string{"rollout/"} + service);
}

/// The row of the status with its revision.
standin::stored_row status_row(const router_fleet& fleet)
{
    const auto rows = fleet.store.copy().tables["status"];
    const auto found = rows.find(std::string{"rollout/"} + service);
    return found == rows.end() ? standin::stored_row{} : found->second;
}

/// Sends a bounded number of requests to some routers in its lifetime.
class steady_load
{
public:
    explicit steady_load(const router_fleet& fleet, std::vector<std::size_t> routers = {0, 1})
        : routers_{std::move(routers)}
    {
        for (std::size_t n = 0; n != callers; ++n)
        {
            threads_.emplace_back([this, &fleet, n] { run(fleet, n); });
        }
    }
    ~steady_load() { stop(); }
    steady_load(const steady_load&) = delete;
    steady_load& operator=(const steady_load&) = delete;

    void stop()
    {
        stopped_ = true;
        for (auto& it : threads_)
        {
            it.join();
        }
        threads_.clear();
    }

    /// Requests that have been answered.
    [[nodiscard]] std::size_t answered() const { return answered_; }

private:
    static constexpr std::size_t callers = 4;
    static constexpr int max_requests = 2000; ///< Of each caller.

    void run(const router_fleet& fleet, std::size_t caller)
    {
        const auto router = routers_[caller % routers_.size()];
        for (int n = 0; n != max_requests && !stopped_; ++n)
        {
            const auto id = "r" + std::to_string(router) + "-" + std::to_string(caller) + "-" +
                            std::to_string(n);
            const auto status = fleet.call(router, "GET", "status", id).status;
            answered_ += status == 0 ? 0 : 1;
            std::this_thread::sleep_for(milliseconds{10});
        }
    }

    const std::vector<std::size_t> routers_;
    std::atomic<bool> stopped_{false};
    std::atomic<std::size_t> answered_{0};
    std::vector<std::thread> threads_;
};

std::size_t runs_at(const router_fleet& fleet, const std::string& prefix)
{
    std::size_t result = 0;
    for (const auto& [name, it] : fleet.engines)
    {
        result += name.starts_with(prefix) ? it->engine.runs().size() : 0;
    }
    return result;
}

/// Runs at the new version by request ids with a prefix.
std::size_t new_runs_of(const router_fleet& fleet, const std::string& id_prefix)
{
    std::size_t result = 0;
    for (const auto& [name, it] : fleet.engines)
    {
        const auto runs = it->engine.runs();
        result += name.starts_with("new")
                      ? static_cast<std::size_t>(std::count_if(
                            runs.begin(), runs.end(),
                            [&](const auto& run) { return run.request.starts_with(id_prefix); }))
                      : 0;
    }
    return result;
}

void start_old_version(router_fleet& fleet)
{
    add_engine(fleet, "old-1", "v1");
    add_engine(fleet, "old-2", "v1");
    REQUIRE(fleet.await_ready(0));
    REQUIRE(fleet.await_ready(1));
}

void start_new_version(router_fleet& fleet, std::optional<milliseconds> slowness = std::nullopt)
{
    add_engine(fleet, "new-1", "v2", slowness);
    add_engine(fleet, "new-2", "v2", slowness);
    order(fleet);
}

bool await_status(const router_fleet& fleet, const std::string& text, milliseconds timeout)
{
    return eventually([&] { return status_of(fleet) == text; }, timeout);
}

void start_two_versions(router_fleet& fleet, std::optional<milliseconds> slowness = std::nullopt)
{
    start_old_version(fleet);
    start_new_version(fleet, slowness);
    REQUIRE(await_status(fleet, running_status, seconds{5}));
}

/// From the returned time on, all responses of the new version are failures.
time_point turn_bad(router_fleet& fleet)
{
    const auto now = clock::now();
    for (const auto* it : {"new-1", "new-2"})
    {
        fleet.engines[it]->engine.set_fault(standin::engine_fault::error, 100'000);
    }
    return now;
}

/// Checks the promises about a bad version: the status becomes final in time and stays as it is,
/// the version got no more than its share, and it gets no requests any more. The responses since
/// `bad_since` are bad. The load goes on meanwhile.
void check_rolled_back(const router_fleet& fleet, const steady_load& load, time_point bad_since)
{
    REQUIRE(await_status(fleet, rolled_back_status, duration_of_order));
    const auto final_row = status_row(fleet);
    std::this_thread::sleep_for(time_to_spread);
    const auto new_runs = runs_at(fleet, "new");
    std::this_thread::sleep_for(seconds{2});
    CHECK(status_row(fleet) == final_row);
    CHECK(runs_at(fleet, "new") == new_runs);
    const double allowed = canary_share * static_cast<double>(load.answered()) + canary_tolerance;
    CHECK(static_cast<double>(new_runs) <= allowed);

    std::vector<time_point> bad_ends;
    time_point last_start{};
    for (const auto* name : {"new-1", "new-2"})
    {
        for (const auto& run : fleet.engines.at(name)->engine.runs())
        {
            last_start = std::max(last_start, run.at);
            if (run.ended_at >= bad_since)
            {
                bad_ends.push_back(run.ended_at);
            }
        }
    }
    std::sort(bad_ends.begin(), bad_ends.end());
    CHECK_FALSE(bad_ends.empty());
    if (bad_ends.size() >= bad_limit)
    {
        CHECK(last_start <= bad_ends[bad_limit - 1] + rollback_time);
    }
}

} // namespace

TEST_CASE("without the options of rollouts, endpoints of any version get requests")
{
    router_fleet fleet{2};
    add_engine(fleet, "old-1", "v1");
    REQUIRE(fleet.await_ready(0));
    REQUIRE(fleet.await_ready(1));
    add_engine(fleet, "new-1", "v2");
    order(fleet);
    steady_load load{fleet};
    CHECK(eventually([&] { return runs_at(fleet, "new") > 20; }, seconds{10}));
    CHECK(status_of(fleet).empty());
}

TEST_CASE("a version that is bad from the start is rolled back")
{
    const rollout_options options;
    router_fleet fleet{2};
    start_two_versions(fleet);
    for (const auto* it : {"new-1", "new-2"})
    {
        fleet.engines[it]->engine.set_fault(standin::engine_fault::error, 100'000);
    }
    steady_load load{fleet};

    SUBCASE("with its status written")
    {
        CHECK(eventually([&] { return status_of(fleet) == R"({"state":"rolled_back","to":"v2"})"; },
                         duration_of_order));
    }
    SUBCASE("with its status written once the store is back")
    {
        fleet.store.set_faults({.down = true});
        std::this_thread::sleep_for(duration_of_order);
        CHECK(status_of(fleet).find("running") != std::string::npos);
        fleet.store.set_faults({});
        CHECK(eventually([&] { return status_of(fleet) == R"({"state":"rolled_back","to":"v2"})"; },
                         seconds{5}));
    }
    const auto bad = runs_at(fleet, "new");
    std::this_thread::sleep_for(seconds{1});
    CHECK(runs_at(fleet, "new") == bad);
}

TEST_CASE("a sound version is done before its deadline")
{
    const rollout_options options;
    router_fleet fleet{2};
    start_two_versions(fleet);
    steady_load load{fleet};
    CHECK(eventually([&] { return status_of(fleet) == R"({"state":"done","to":"v2"})"; },
                     duration_of_order));
    const auto old_runs = runs_at(fleet, "old");
    std::this_thread::sleep_for(seconds{1});
    CHECK(runs_at(fleet, "old") == old_runs);
    CHECK(runs_at(fleet, "new") > 0);
}

TEST_CASE("a bad version is rolled back within its bounds")
{
    const rollout_options options;
    router_fleet fleet{2};

    SUBCASE("if it is several times slower")
    {
        const auto bad_since = clock::now();
        start_two_versions(fleet, milliseconds{150});
        const steady_load load{fleet};
        check_rolled_back(fleet, load, bad_since);
    }
    SUBCASE("if it becomes bad later")
    {
        start_two_versions(fleet);
        const steady_load load{fleet};
        std::this_thread::sleep_for(seconds{3});
        CHECK(runs_at(fleet, "new") > 0);
        CHECK(status_of(fleet) == running_status);
        const auto bad_since = turn_bad(fleet);
        check_rolled_back(fleet, load, bad_since);
    }
}

TEST_CASE("a rollout whose status was written by an instance that is killed is ended by another")
{
    const rollout_options options;
    cuttable_links links;
    fleet_params params;
    params.links = [&](std::size_t n, const router_links& direct) { return links.of(n, direct); };
    router_fleet fleet{2, params};
    start_old_version(fleet);
    // Only router 0 reaches the store when the order comes, so it is the one that writes.
    links.cut_store(1);
    start_new_version(fleet);
    REQUIRE(await_status(fleet, running_status, seconds{5}));
    fleet.processes[0]->signal(SIGKILL);
    links.restore_store(1);

    const steady_load load{fleet, {1}};
    const auto bad_since = turn_bad(fleet);
    check_rolled_back(fleet, load, bad_since);

    SUBCASE("and does not start over when the killed instance is back")
    {
        const auto final_row = status_row(fleet);
        const auto new_runs = runs_at(fleet, "new");
        fleet.start(0);
        REQUIRE(fleet.await_ready(0));
        const steady_load both{fleet};
        std::this_thread::sleep_for(seconds{3});
        CHECK(status_row(fleet) == final_row);
        CHECK(runs_at(fleet, "new") == new_runs);
    }
}

TEST_CASE("a bad version stays within its bounds while a failure domain is cut off")
{
    const rollout_options options;
    cuttable_links links;
    fleet_params params;
    params.links = [&](std::size_t n, const router_links& direct) { return links.of(n, direct); };
    router_fleet fleet{2, params}; // One router in each domain.
    start_two_versions(fleet);
    const auto cut = [&]
    {
        links.cut_peers();
        links.cut_store(1);
        return turn_bad(fleet);
    };
    const auto reconnect = [&]
    {
        links.restore_peers();
        links.restore_store(1);
    };

    SUBCASE("that has requests of its own")
    {
        const steady_load load{fleet};
        REQUIRE(eventually([&] { return new_runs_of(fleet, "r1-") > 0; }, seconds{5}));
        const auto bad_since = cut();
        check_rolled_back(fleet, load, bad_since);
        const auto final_row = status_row(fleet);
        reconnect();
        std::this_thread::sleep_for(time_to_spread);
        const auto new_runs = runs_at(fleet, "new");
        std::this_thread::sleep_for(seconds{2});
        CHECK(status_row(fleet) == final_row);
        CHECK(runs_at(fleet, "new") == new_runs);
    }
    SUBCASE("that has no requests, and so no evidence, until it is back")
    {
        const auto bad_since = cut();
        const steady_load load{fleet, {0}};
        check_rolled_back(fleet, load, bad_since);
        const auto final_row = status_row(fleet);
        reconnect();
        std::this_thread::sleep_for(seconds{3});
        const steady_load both{fleet};
        std::this_thread::sleep_for(seconds{2});
        CHECK(both.answered() > 0);
        CHECK(new_runs_of(fleet, "r1-") == 0);
        CHECK(status_row(fleet) == final_row);
    }
}

TEST_CASE("a bad version is rolled back although the store comes back older")
{
    const rollout_options options;
    router_fleet fleet{2};
    start_old_version(fleet);
    const auto before_order = fleet.store.copy();
    start_new_version(fleet);
    REQUIRE(await_status(fleet, running_status, seconds{5}));
    const steady_load load{fleet};
    REQUIRE(eventually([&] { return runs_at(fleet, "new") > 0; }, seconds{5}));
    const auto return_older = [&]
    {
        fleet.store.come_back_from(before_order);
        std::this_thread::sleep_for(seconds{1});
        // What operators and endpoints wrote is written again.
        for (const auto* name : {"new-1", "new-2"})
        {
            write_version(fleet, name, "v2");
        }
        order(fleet);
    };

    SUBCASE("in the middle of its rollout")
    {
        return_older();
        CHECK(await_status(fleet, running_status, seconds{5}));
        const auto bad_since = turn_bad(fleet);
        check_rolled_back(fleet, load, bad_since);
    }
    SUBCASE("after its end, which is written again, and the rollout does not start over")
    {
        const auto bad_since = turn_bad(fleet);
        check_rolled_back(fleet, load, bad_since);
        const auto new_runs = runs_at(fleet, "new");
        return_older();
        CHECK(eventually([&] { return !status_of(fleet).empty(); }, seconds{5}));
        CHECK(status_of(fleet) == rolled_back_status);
        const auto final_row = status_row(fleet);
        std::this_thread::sleep_for(seconds{3});
        CHECK(status_row(fleet) == final_row);
        CHECK(runs_at(fleet, "new") == new_runs);
    }
}
