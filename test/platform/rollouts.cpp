// Rollouts by real processes. Guards against a bad version that stays in use or whose end no
// operator sees, and against a sound one that is not done by its deadline.
#include <atomic>
#include <cstdlib>
#include <thread>

#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr const char* service = "ventanilla";
constexpr seconds duration_of_order{10};

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

void add_engine(router_fleet& fleet, const std::string& name, const std::string& version)
{
    auto& engine = *(fleet.engines[name] = std::make_unique<hosted_engine>(name, 6));
    auto text = entry_text({service, engine.host.address(), "bogota-a", "ready", {}});
    text.replace(text.find("\"v1\""), 4, "\"" + version + "\"");
    fleet.store.put("servers", name, text);
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

/// Sends a bounded number of requests to both routers in its lifetime.
class steady_load
{
public:
    explicit steady_load(const router_fleet& fleet)
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

private:
    static constexpr std::size_t callers = 4;
    static constexpr int max_requests = 2000; ///< Of each caller.

    void run(const router_fleet& fleet, std::size_t caller)
    {
        for (int n = 0; n != max_requests && !stopped_; ++n)
        {
            const auto id = "c" + std::to_string(caller) + "-" + std::to_string(n);
            (void)fleet.call(caller % 2, "GET", "status", id);
            std::this_thread::sleep_for(milliseconds{10});
        }
    }

    std::atomic<bool> stopped_{false};
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

void start_two_versions(router_fleet& fleet)
{
    add_engine(fleet, "old-1", "v1");
    add_engine(fleet, "old-2", "v1");
    REQUIRE(fleet.await_ready(0));
    REQUIRE(fleet.await_ready(1));
    add_engine(fleet, "new-1", "v2");
    add_engine(fleet, "new-2", "v2");
    order(fleet);
    REQUIRE(eventually([&] { return status_of(fleet).find("running") != std::string::npos; },
                       seconds{5}));
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
