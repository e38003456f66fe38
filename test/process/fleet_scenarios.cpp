// Scenarios of a large fleet of real processes on loopback: a key that is sent to several routers
// must run once, and a failure domain that is taken out must receive no new chats.
#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "mangovane/idempotency/claim.hpp"
#include "mangovane/idempotency/claim_codec.hpp"
#include "mangovane/store/platform_codec.hpp"
#include "mangovane/store/request_target.hpp"
#include "process/fleet_load.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr milliseconds drain_limit{3000}; ///< Requirement: no new work 3 s after the change.
constexpr milliseconds observation_time{1500};

/// Reads the claim of a key from the platform table.
absl::StatusOr<claim> stored_claim(const fleet& target, const std::string& key)
{
    const auto row_key =
        claim_row_key(account_id::of("registry"), service_id::of("ventanilla"), key);
    const auto response =
        target.send_to_platform({"GET", "/v1/table/" + percent_encode(row_key), {}, {}});
    const auto row = decode_row(response.body);
    return row.ok() ? decode_claim(row->value) : absl::StatusOr<claim>{row.status()};
}

bool await_responses(const fleet_load& load, std::size_t count)
{
    const auto from = load.answered();
    return eventually([&] { return load.answered() >= from + count; }, milliseconds{15000});
}

} // namespace

TEST_CASE("12 routers in three failure domains, 20 engines")
{
    fleet large_fleet{{12, 20, 3}};

    SUBCASE("a keyed write that is sent to several routers runs once")
    {
        // A claim without retention expired as soon as it was made, so that the key ran three
        // times.
        for (std::size_t n = 0; n != 4; ++n)
        {
            const auto response = send(large_fleet.router_address(n), keyed_write("grant-1"));
            CHECK(response.status == 200);
            CHECK(response.body == R"({"id":"grant-1","run":1})");
        }
        CHECK(large_fleet.runs().at("grant-1") == 1);
        const auto stored = stored_claim(large_fleet, "grant-1");
        REQUIRE(stored.ok());
        CHECK(stored->expires_unix_ms - stored->claimed_unix_ms ==
              static_cast<std::uint64_t>(milliseconds{key_retention}.count()));
    }
    SUBCASE("a failure domain is taken out and returned under load")
    {
        load_balancer routers{large_fleet};
        fleet_load chats{large_fleet, routers, &chat_step, "chat", 8};
        fleet_load grants{large_fleet, routers, &keyed_write_step, "grant", 4};
        CHECK(await_responses(chats, 40));
        REQUIRE(large_fleet.ctl("domain out bogota-b").code == 0);
        std::this_thread::sleep_for(drain_limit);
        const auto before = large_fleet.chats_started("bogota-b");
        std::this_thread::sleep_for(observation_time);
        CHECK(large_fleet.chats_started("bogota-b") == before);

        // Returning chats stay at their warm engines, so only new chats show that the domain is
        // back.
        REQUIRE(large_fleet.ctl("domain in bogota-b").code == 0);
        fleet_load new_chats{large_fleet, routers, &new_chat_step, "new", 4};
        CHECK(eventually([&] { return large_fleet.chats_started("bogota-b") > before; },
                         milliseconds{10000}));
        check_all_complete(chats.stop());
        check_all_complete(new_chats.stop());
        check_ran_once(large_fleet, grants.stop());
    }
}
