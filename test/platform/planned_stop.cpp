// Guards against requests that are cut off by a planned stop although the instance, or the kernel
// for it, has accepted them: requests on connections that wait to be accepted, and heads that have
// arrived in part.
#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "platform/raw_caller.hpp"
#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

TEST_CASE("a router that is stopped at once")
{
    router_fleet fleet{1, {.drain_delay = milliseconds{0}}};
    fleet.add_engine("plain-1", "ventanilla");
    REQUIRE(fleet.await_ready(0));
    std::vector<std::unique_ptr<raw_caller>> callers;
    const auto connect = [&](int count)
    {
        for (int n = 0; n != count; ++n)
        {
            callers.push_back(std::make_unique<raw_caller>(fleet.address(0, 0)));
        }
    };

    SUBCASE("answers the requests on connections that it had not accepted yet")
    {
        fleet.processes[0]->signal(SIGSTOP);
        connect(200);
        for (std::size_t n = 0; n != callers.size(); ++n)
        {
            callers[n]->send(request_text("POST", "grant", "waiting-" + std::to_string(n)));
        }
        fleet.processes[0]->signal(SIGTERM);
        fleet.processes[0]->signal(SIGCONT);
        std::size_t answered = 0;
        for (const auto& it : callers)
        {
            answered += status_of(it->read_all(milliseconds{4000})) != 0 ? 1U : 0U;
        }
        CHECK(answered == callers.size());
    }
    SUBCASE("answers the requests on connections that were idle, and those half received")
    {
        connect(100);
        for (std::size_t n = 0; n != callers.size(); ++n)
        {
            // Half of the callers send their first byte before the stop, the others nothing.
            callers[n]->send(n % 2 == 0 ? "P" : "");
        }
        std::this_thread::sleep_for(milliseconds{300});
        fleet.processes[0]->signal(SIGTERM);
        for (std::size_t n = 0; n != callers.size(); ++n)
        {
            const auto text = request_text("POST", "grant", "late-" + std::to_string(n));
            callers[n]->send(n % 2 == 0 ? text.substr(1) : text);
        }
        std::size_t answered = 0;
        for (const auto& it : callers)
        {
            answered += status_of(it->read_all(milliseconds{4000})) != 0 ? 1U : 0U;
        }
        CHECK(answered == callers.size());
    }
    CHECK(fleet.processes[0]->wait(milliseconds{8000}) == 0);
}
