// Faults and restarts in a small fleet of real processes on loopback: writes must run once and
// streams must complete although routers are killed, paused or restarted or the store is down.
#include <csignal>
#include <future>
#include <thread>

#include <doctest/doctest.h>

#include "process/fleet_load.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr milliseconds pause_time{6000}; ///< Longer than the lease of a slot (4 s).

bool await_responses(const fleet_load& load, std::size_t count)
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

TEST_CASE("six routers with router failures and restarts")
{
    fleet small{{6, 3, 3}};
    load_balancer routers{small};

    SUBCASE("a keyed write that is retried at another router runs once")
    {
        // A retry that overtakes the first attempt would run the write twice.
        fleet_load grants{small, routers, &keyed_write_step, "grant", 8};
        CHECK(await_responses(grants, 40));

        SUBCASE("after a router is killed")
        {
            small.router(1).signal(SIGKILL);
            CHECK(small.router(1).wait(milliseconds{5000}) == ended_by_signal);
            CHECK(await_responses(grants, 100));
        }
        SUBCASE("after a router is paused for longer than its leases and resumes")
        {
            small.router(1).signal(SIGSTOP);
            std::this_thread::sleep_for(pause_time);
            small.router(1).signal(SIGCONT);
            CHECK(await_responses(grants, 100));
        }
        check_ran_once(small, grants.stop());
    }
    SUBCASE("a rolling restart completes all streamed chats")
    {
        // A shutdown that does not drain its streams truncates the responses.
        fleet_load chats{small, routers, &chat_step, "chat", 6};
        for (std::size_t n = 0; n != small.routers(); ++n)
        {
            CHECK(await_responses(chats, 10));
            restart_gracefully(small, n);
        }
        check_all_complete(chats.stop());
    }
}

TEST_CASE("three routers that are all stopped and started again")
{
    // The owner of an endpoint rebuilds its ledger for some seconds after its start and refuses
    // slots meanwhile; a request that does not try again afterwards waits until its deadline. With
    // one service, one of the routers owns the only endpoint and refuses its own requests.
    fleet small{{3, 3, 1}};
    REQUIRE(send(small.router_address(0), keyed_write("before")).status == 200);
    for (std::size_t n = 0; n != small.routers(); ++n)
    {
        small.router(n).signal(SIGTERM);
    }
    for (std::size_t n = 0; n != small.routers(); ++n)
    {
        CHECK(small.router(n).wait(milliseconds{15000}) == 0);
    }
    for (std::size_t n = 0; n != small.routers(); ++n)
    {
        small.start_router(n);
    }
    for (std::size_t n = 0; n != small.routers(); ++n)
    {
        CHECK(eventually([&] { return small.is_ready(n); }, milliseconds{15000}));
    }

    SUBCASE("answer the repeat of a completed key with its stored response, at each of them")
    {
        for (std::size_t n = 0; n != small.routers(); ++n)
        {
            CHECK(send(small.router_address(n), keyed_write("before")).status == 200);
        }
        CHECK(small.runs().at("before") == 1);
    }
    SUBCASE("answer requests sent at once to each of them")
    {
        std::vector<std::future<http_response>> calls;
        for (std::size_t n = 0; n != small.routers(); ++n)
        {
            calls.push_back(std::async(std::launch::async, send, small.router_address(n),
                                       unkeyed_write("single-" + std::to_string(n))));
        }
        for (auto& it : calls)
        {
            CHECK(it.get().status == 200);
        }
    }
}

TEST_CASE("three routers while the table store is down")
{
    fleet small{{3, 3, 3}};
    small.set_store_down(true);

    // A write without a claim could run twice, so it must not be dispatched.
    const auto refused = send(small.router_address(0), keyed_write("grant-down"));
    CHECK(refused.status == 503);
    CHECK(refused.has("store_unavailable"));
    CHECK(refused.has(R"("not_run":true)"));
    CHECK(!small.runs().contains("grant-down"));
    for (std::size_t n = 0; n != small.routers(); ++n)
    {
        CHECK(send(small.router_address(n), read_request()).status == 200);
        CHECK(send(small.router_address(n), unkeyed_write("single")).status == 200);
        CHECK(is_complete_chat(send(small.router_address(n), chat_request("returning"))));
    }

    SUBCASE("the rejected write runs once after the store is back")
    {
        small.set_store_down(false);
        load_balancer routers{small};
        const auto issued = keyed_write_step(small, routers, "grant-down");
        CHECK(issued.response.status == 200);
        CHECK(small.runs().at("grant-down") == 1);
    }
}

TEST_CASE("mangovanectl applies settings to three routers")
{
    fleet small{{3, 3, 3}};

    SUBCASE("it succeeds when every router has applied them")
    {
        const auto result = small.ctl("domain out bogota-b --wait 10");
        INFO(result.output);
        CHECK(result.code == 0);
    }
    SUBCASE("it fails and names a router that is paused")
    {
        // A script that reads success here would take down a domain that still receives requests.
        small.router(2).signal(SIGSTOP);
        const auto result = small.ctl("settings apply " + small.settings_file() + " --wait 2");
        INFO(result.output);
        CHECK(result.code == 6);
        CHECK(result.output.find("entry-2") != std::string::npos);
    }
}
