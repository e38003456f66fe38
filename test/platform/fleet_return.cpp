// Tests of the return of a fleet whose routers have all ended at once. No router then has settings,
// endpoints or a socket left, which a router that goes on has.
#include <fcntl.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "mangovane/net/tcp_acceptor.hpp"
#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr std::size_t router_count = 3;

/// The users' bound on the time from the return of the machines until requests are served.
constexpr milliseconds recovery_bound{12000};

/// A listening socket that holds an address.
class address_holder
{
public:
    explicit address_holder(const std::string& address)
    {
        REQUIRE(open_acceptor(acceptor_, address).ok());
        // A router that is started meanwhile would inherit the socket and hold the address on.
        REQUIRE(::fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC) == 0);
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_{io_};
};

void kill_all(router_fleet& fleet)
{
    for (const auto& it : fleet.processes)
    {
        it->signal(SIGKILL);
    }
    for (const auto& it : fleet.processes)
    {
        REQUIRE(it->wait(milliseconds{5000}));
    }
}

void start_all(router_fleet& fleet)
{
    for (std::size_t n = 0; n != router_count; ++n)
    {
        fleet.start(n);
    }
}

/// Whether the router answers a request within the bound on a return.
bool serves_again(const router_fleet& fleet, std::size_t router)
{
    const auto id = "return-" + std::to_string(router) + "-";
    int n = 0;
    return eventually(
        [&] { return fleet.call(router, "GET", "status", id + std::to_string(++n)).status == 200; },
        recovery_bound);
}

/// Adds an endpoint of each service and waits until all routers serve.
void add_engines(router_fleet& fleet, const std::string& plain, const std::string& model)
{
    fleet.add_engine(plain, "ventanilla");
    fleet.add_engine(model, "dictamen");
    for (std::size_t n = 0; n != router_count; ++n)
    {
        REQUIRE(serves_again(fleet, n));
    }
}

void check_return(router_fleet& fleet)
{
    kill_all(fleet);
    start_all(fleet);
    for (std::size_t n = 0; n != router_count; ++n)
    {
        CHECK(serves_again(fleet, n));
    }
}

} // namespace

TEST_CASE("a fleet whose routers were all killed")
{
    router_fleet fleet{router_count};
    add_engines(fleet, "plain-1", "engine-1");
    kill_all(fleet);

    SUBCASE("serves again")
    {
        start_all(fleet);
        for (std::size_t n = 0; n != router_count; ++n)
        {
            CHECK(serves_again(fleet, n));
        }
    }
    SUBCASE("serves again although the store takes longer for an answer than it used to")
    {
        fleet.store.set_faults({.slow_ms = 1300});
        start_all(fleet);
        for (std::size_t n = 0; n != router_count; ++n)
        {
            CHECK(serves_again(fleet, n));
            CHECK(fleet.await_ready(n));
        }
    }
    SUBCASE("whose readiness addresses are held: serves, and is ready once they are free")
    {
        std::vector<std::unique_ptr<address_holder>> holders;
        for (std::size_t n = 0; n != router_count; ++n)
        {
            holders.push_back(std::make_unique<address_holder>(fleet.address(n, 1)));
        }
        start_all(fleet);
        CHECK(serves_again(fleet, 0));
        holders.clear();
        CHECK(fleet.await_ready(0));
    }
    SUBCASE("whose first router finds one of its addresses held")
    {
        const auto hold = [&](int port)
        { return std::make_unique<address_holder>(fleet.address(0, port)); };

        SUBCASE("for callers: the same process serves once the address is free")
        {
            auto holder = hold(0);
            start_all(fleet);
            CHECK(serves_again(fleet, 1));
            CHECK_FALSE(fleet.processes[0]->wait(milliseconds{0}));
            holder.reset();
            CHECK(serves_again(fleet, 0));
            CHECK_FALSE(fleet.processes[0]->wait(milliseconds{0}));
        }
        SUBCASE("for other routers: the same process serves once the address is free")
        {
            auto holder = hold(3);
            start_all(fleet);
            CHECK(serves_again(fleet, 1));
            holder.reset();
            CHECK(serves_again(fleet, 0));
            CHECK_FALSE(fleet.processes[0]->wait(milliseconds{0}));
        }
        SUBCASE("for metrics: it serves without it")
        {
            const auto holder = hold(2);
            start_all(fleet);
            CHECK(serves_again(fleet, 0));
            CHECK(fleet.await_ready(0));
        }
        SUBCASE("for callers, and is told to stop: it ends")
        {
            const auto holder = hold(0);
            start_all(fleet);
            CHECK(serves_again(fleet, 1));
            fleet.processes[0]->signal(SIGTERM);
            CHECK(fleet.processes[0]->wait(milliseconds{5000}) == 0);
        }
    }
}

TEST_CASE("a fleet whose routers were all killed while entries of another writer are in the list")
{
    // Only a router that starts lists the endpoints; one that goes on reads their changes. The
    // entries name no endpoint, and fill more than a page, so that a page ends with one of them.
    constexpr std::size_t odd_entries = 700;
    static_assert(odd_entries > standin::fleet_store::max_page_rows);
    router_fleet fleet{router_count};
    add_engines(fleet, "m5-plain", "m5-engine");
    for (const char* odd : {"&", "&part=x", "+", "#", "%zz", "%41", " "})
    {
        SUBCASE((std::string{"whose names hold '"} + odd + "': serves again").c_str())
        {
            for (std::size_t n = 0; n != odd_entries; ++n)
            {
                fleet.store.put("servers", "m" + (odd + std::to_string(1000 + n)), "\xff?");
            }
            check_return(fleet);
        }
    }
}

TEST_CASE("a fleet whose routers were all killed while an odd entry is among the operators' rows")
{
    // Evacuations are part of the text in which instances send each other the configuration.
    router_fleet fleet{router_count};
    add_engines(fleet, "plain-1", "engine-1");
    for (const char* odd : {"a\nb", "x,a,b,c", "\t", "&+ #%", "%zz", ""})
    {
        SUBCASE((std::string{"an evacuation of '"} + odd + "': serves again").c_str())
        {
            fleet.store.put("op", std::string{"evacuate/"} + odd, "{}");
            check_return(fleet);
        }
    }
}

TEST_CASE("a fleet in whose list an entry has a text that instances do not accept from each other")
{
    // Only some instances read the list; the others get it in messages, which they refuse whole.
    router_fleet fleet{router_count};
    fleet.add_engine("plain-1", "ventanilla");
    for (std::size_t n = 0; n != router_count; ++n)
    {
        REQUIRE(serves_again(fleet, n));
        REQUIRE(fleet.await_ready(n));
    }

    SUBCASE("its zone: all routers use an endpoint that is added later")
    {
        fleet.store.put(
            "servers", "other",
            entry_text({"other", "127.0.0.1:9", std::string(300, 'z'), "ready", milliseconds{0}}));
    }
    SUBCASE("its name: all routers use an endpoint that is added later")
    {
        fleet.store.put("servers", "", "?");
    }
    fleet.add_engine("plain-2", "ventanilla");
    fleet.store.remove("servers", "plain-1");
    for (std::size_t n = 0; n != router_count; ++n)
    {
        const auto& engine = fleet.engines["plain-2"]->engine;
        const auto id = "later-" + std::to_string(n) + "-";
        int k = 0;
        const auto reaches_it = [&]
        {
            const auto request = id + std::to_string(++k);
            const bool served = fleet.call(n, "GET", "status", request).status == 200;
            const auto runs = engine.runs();
            return served && std::any_of(runs.begin(), runs.end(),
                                         [&](const auto& run) { return run.request == request; });
        };
        CHECK(eventually(reaches_it, recovery_bound));
    }
}
