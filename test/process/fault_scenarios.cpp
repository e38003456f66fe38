// Faults and restarts of a small fleet, as real processes on loopback.
#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "process/fleet_load.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr milliseconds pause_time{6000}; ///< Longer than the lease of a slot (4 s).

bool await_answers(const fleet_load& load, std::size_t count)
{
    const auto from = load.answered();
    return eventually([&] { return load.answered() >= from + count; }, milliseconds{20000});
}

void restart_gracefully(fleet& target, std::size_t n)
{
    INFO("router " << n);
    target.router(n).signal(SIGTERM);
    CHECK(target.router(n).wait(milliseconds{15000}) == 0);
    target.start_router(n);
    CHECK(eventually([&] { return target.is_ready(n); }, milliseconds{15000}));
}

} // namespace

TEST_CASE("six routers, of which some fail")
{
    fleet small{{6, 3, 3}};
    balancer routers{small};

    SUBCASE("callers repeat their grants at another router")
    {
        // A repetition that overtakes the first attempt would issue the grant twice.
        fleet_load grants{small, routers, &keyed_write_step, "grant", 8};
        CHECK(await_answers(grants, 40));

        SUBCASE("when a router is killed")
        {
            small.router(1).signal(SIGKILL);
            CHECK(small.router(1).wait(milliseconds{5000}) == ended_by_signal);
            CHECK(await_answers(grants, 100));
        }
        SUBCASE("when a router is paused beyond its leases and goes on")
        {
            small.router(1).signal(SIGSTOP);
            std::this_thread::sleep_for(pause_time);
            small.router(1).signal(SIGCONT);
            CHECK(await_answers(grants, 100));
        }
        check_ran_once(small, grants.stop());
    }
    SUBCASE("every router is restarted in turn while chats are streamed")
    {
        // A shutdown that does not wait for its streams cuts the answers of callers.
        fleet_load chats{small, routers, &chat_step, "chat", 6};
        for (std::size_t n = 0; n != small.routers(); ++n)
        {
            CHECK(await_answers(chats, 10));
            restart_gracefully(small, n);
        }
        check_all_whole(chats.stop());
    }
}

TEST_CASE("three routers while the store is down")
{
    fleet small{{3, 3, 3}};
    small.set_store_down(true);

    // A grant without a claim could be issued twice, so it must not be dispatched.
    const auto refused = send(small.router_address(0), keyed_write("grant-down"));
    CHECK(refused.status == 503);
    CHECK(refused.has("store_unavailable"));
    CHECK(refused.has(R"("not_run":true)"));
    CHECK(!small.runs().contains("grant-down"));
    for (std::size_t n = 0; n != small.routers(); ++n)
    {
        CHECK(send(small.router_address(n), read_call()).status == 200);
        CHECK(send(small.router_address(n), unkeyed_write("single")).status == 200);
        CHECK(is_whole_chat(send(small.router_address(n), chat_call("returning"))));
    }

    SUBCASE("the refused grant is issued when the store is back")
    {
        small.set_store_down(false);
        balancer routers{small};
        const auto issued = keyed_write_step(small, routers, "grant-down");
        CHECK(issued.answer.status == 200);
        CHECK(small.runs().at("grant-down") == 1);
    }
}

TEST_CASE("settings are applied to three routers")
{
    fleet small{{3, 3, 3}};

    SUBCASE("the command returns when each has them")
    {
        const auto result = small.ctl("domain out bogota-b --wait 10");
        INFO(result.output);
        CHECK(result.code == 0);
    }
    SUBCASE("the command names the one that is stopped")
    {
        // A script that reads success here would take out a domain that still gets work.
        small.router(2).signal(SIGSTOP);
        const auto result = small.ctl("settings apply " + small.settings_file() + " --wait 2");
        INFO(result.output);
        CHECK(result.code == 6);
        CHECK(result.output.find("entry-2") != std::string::npos);
    }
}
