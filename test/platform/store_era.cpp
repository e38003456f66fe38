// Tests of a store that comes back from an older copy, with real processes. Its revisions are given
// out again, so instances that compare numbers alone ignore what is written afterwards.
#include <algorithm>
#include <thread>

#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr milliseconds config_apply_time{2000};
constexpr std::uint64_t last_version = 40;

/// Whether the route that a version of the configuration adds is in force.
bool has_version(const router_fleet& fleet, std::size_t router, std::uint64_t version)
{
    const auto id = std::to_string(version);
    return fleet.call(router, "GET", "v" + id, "has-" + id).status == 200;
}

bool runs_at(router_fleet& fleet, std::size_t router, const std::string& engine)
{
    static int calls = 0;
    const auto id = "at-" + std::to_string(++calls);
    (void)fleet.call(router, "POST", "grant", id);
    const auto runs = fleet.engines[engine]->engine.runs();
    return std::any_of(runs.begin(), runs.end(), [&](const auto& it) { return it.request == id; });
}

} // namespace

TEST_CASE("a store that comes back from an older copy")
{
    router_fleet fleet{3};
    fleet.add_engine("plain-1", "ventanilla");
    for (std::size_t n = 0; n != 3; ++n)
    {
        REQUIRE(fleet.await_ready(n));
    }
    const auto older = fleet.store.copy();
    for (std::uint64_t version = 2; version <= last_version; ++version)
    {
        fleet.store.put("op", "config", configuration_text({.version = version}));
    }
    for (std::size_t n = 0; n != 3; ++n)
    {
        REQUIRE(eventually([&] { return has_version(fleet, n, last_version); }, seconds{5}));
    }

    // The entry's revision is then higher than those after the return.
    fleet.write_entry("plain-1", "ventanilla");
    std::this_thread::sleep_for(seconds{1});

    SUBCASE("keeps what is in force, and a later change of the configuration takes effect")
    {
        fleet.store.come_back_from(older);
        std::this_thread::sleep_for(seconds{1});
        for (std::size_t n = 0; n != 3; ++n)
        {
            CAPTURE(n);
            CHECK(has_version(fleet, n, last_version));
        }
        fleet.store.put("op", "config", configuration_text({.version = last_version + 1}));
        for (std::size_t n = 0; n != 3; ++n)
        {
            CAPTURE(n);
            CHECK(eventually([&] { return has_version(fleet, n, last_version + 1); },
                             config_apply_time));
        }
    }
    SUBCASE("an endpoint that moved is found at its new address")
    {
        fleet.store.come_back_from(older);
        std::this_thread::sleep_for(seconds{1});
        fleet.add_engine("plain-1", "ventanilla");
        for (std::size_t n = 0; n != 3; ++n)
        {
            CAPTURE(n);
            CHECK(eventually([&] { return runs_at(fleet, n, "plain-1"); }, config_apply_time));
        }
    }
}
