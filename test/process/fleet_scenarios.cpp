// Scenarios of a whole fleet, as real processes on loopback.
#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "mangovane/idempotency/claim.hpp"
#include "mangovane/idempotency/claim_codec.hpp"
#include "mangovane/store/platform_codec.hpp"
#include "process/fleet_load.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr milliseconds out_limit{3000}; ///< Stated: no new work 3 s after the change.
constexpr milliseconds watch_time{1500};

/// The claim of a key, as the table has it.
absl::StatusOr<claim> stored_claim(const fleet& target, const std::string& key)
{
    const auto row_key =
        claim_row_key(account_id::of("registry"), service_id::of("ventanilla"), key);
    const auto answer =
        target.platform_call({"GET", "/v1/table/" + encode_path_segment(row_key), {}, {}});
    const auto row = decode_row(answer.body);
    return row.ok() ? decode_claim(row->value) : absl::StatusOr<claim>{row.status()};
}

bool await_answers(const fleet_load& load, std::size_t count)
{
    const auto from = load.answered();
    return eventually([&] { return load.answered() >= from + count; }, milliseconds{15000});
}

} // namespace

TEST_CASE("Cordillera in small: 12 routers in three failure domains, 20 engines")
{
    fleet cordillera{{12, 20, 3}};

    SUBCASE("a grant that is sent to several routers is issued once")
    {
        // A claim without retention had ended when it was made, so the key ran three times.
        for (std::size_t n = 0; n != 4; ++n)
        {
            const auto answer = send(cordillera.router_address(n), keyed_write("grant-1"));
            CHECK(answer.status == 200);
            CHECK(answer.body == R"({"id":"grant-1","run":1})");
        }
        CHECK(cordillera.runs().at("grant-1") == 1);
        const auto stored = stored_claim(cordillera, "grant-1");
        REQUIRE(stored.ok());
        CHECK(stored->expires_unix_ms - stored->claimed_unix_ms ==
              static_cast<std::uint64_t>(milliseconds{key_retention}.count()));
    }
    SUBCASE("a failure domain leaves and returns under load")
    {
        balancer routers{cordillera};
        fleet_load chats{cordillera, routers, &chat_step, "chat", 8};
        fleet_load grants{cordillera, routers, &keyed_write_step, "grant", 4};
        CHECK(await_answers(chats, 40));
        REQUIRE(cordillera.ctl("domain out bogota-b").code == 0);
        std::this_thread::sleep_for(out_limit);
        const auto before = cordillera.chats_started("bogota-b");
        std::this_thread::sleep_for(watch_time);
        CHECK(cordillera.chats_started("bogota-b") == before);

        // Returning chats stay at their warm engines; new chats must reach the domain again.
        REQUIRE(cordillera.ctl("domain in bogota-b").code == 0);
        fleet_load new_chats{cordillera, routers, &new_chat_step, "new", 4};
        CHECK(eventually([&] { return cordillera.chats_started("bogota-b") > before; },
                         milliseconds{10000}));
        check_all_whole(chats.stop());
        check_all_whole(new_chats.stop());
        check_ran_once(cordillera, grants.stop());
    }
}
