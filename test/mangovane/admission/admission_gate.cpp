// Guards against requests that wait while their service has room, and against a fleet that sends
// more than a service can take because each instance uses the whole room.
#include "mangovane/admission/admission_gate.hpp"

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{1000}};
const service_id service = service_id::of("ventanilla");
const account_id account = account_id::of("parish");

service_room room_with(double slots, double in_flight, std::uint32_t live = 1)
{
    service_room result;
    result.endpoints = 1;
    result.slots = slots;
    result.in_flight = in_flight;
    result.completions_per_s = 1000;
    result.live_instances = live;
    return result;
}

admission_request request_at(std::uint64_t ticket, time_point now, milliseconds patience)
{
    return {ticket, account, 5, false, 1000, 1, now, now + patience};
}

} // namespace

TEST_CASE("a gate in front of a service")
{
    admission_gate gate{{true}, 1};
    const auto ask = [&](std::uint64_t ticket, const service_room& room, time_point now = start)
    { return gate.ask(service, request_at(ticket, now, milliseconds{500}), room, now).decision; };

    SUBCASE("with room sends all requests and counts none")
    {
        for (std::uint64_t ticket = 1; ticket != 1000; ++ticket)
        {
            REQUIRE(ask(ticket, room_with(18, 35.9, 100)) == admission_decision{});
        }
        CHECK(gate.services_waiting().empty());
    }
    SUBCASE("without room")
    {
        const auto full = room_with(18, 37, 100);
        REQUIRE(ask(1, full).verdict == admission_verdict::wait);
        CHECK(gate.waiting() == 1);

        SUBCASE("lets later requests wait behind the first, also when there is room again")
        {
            CHECK(ask(2, room_with(18, 10, 100)).verdict == admission_verdict::wait);
        }
        SUBCASE("forgets a request whose caller leaves")
        {
            gate.remove(service, 1);
            CHECK(gate.waiting() == 0);
            CHECK(ask(2, room_with(18, 10, 100)) == admission_decision{});
        }
        SUBCASE("sends all that wait soon after there is room, although its share is small")
        {
            for (std::uint64_t ticket = 2; ticket != 20; ++ticket)
            {
                REQUIRE(ask(ticket, full).verdict != admission_verdict::send);
            }
            std::size_t sent = 0;
            for (int ms = 0; ms != 2000; ms += 10)
            {
                const auto now = start + milliseconds{ms};
                for (const auto& it : gate.release(service, room_with(18, 5, 100), now))
                {
                    sent += it.decision.verdict == admission_verdict::send ? 1 : 0;
                }
            }
            CHECK(gate.waiting() == 0);
            CHECK(sent > 0);
        }
        SUBCASE("sends what waits when the room is not known any more")
        {
            CHECK(gate.release(service, {}, start) == std::vector{admission_outcome{1, {}}});
            CHECK(gate.services_waiting().empty());
        }
        SUBCASE("refuses a request that has waited as long as it can, and counts it once")
        {
            const auto late = start + milliseconds{500};
            const auto decision = gate.expire(service, 1, full, late);
            CHECK(decision.reason == admission_reason::too_late);
            CHECK(decision.at > late);
            CHECK(gate.waiting() == 0);
            CHECK(gate.expire(service, 1, full, late).verdict == admission_verdict::refuse);
            const auto text = gate.statistics().text(0);
            CHECK(text.find("refusals_total{reason=\"too_late\"} 1\n") != std::string::npos);
            CHECK(text.find("waits_total 1\n") != std::string::npos);
        }
        SUBCASE("does not hold back requests of another service")
        {
            const auto other = service_id::of("dictamen");
            const auto request = request_at(2, start, milliseconds{500});
            CHECK(gate.ask(other, request, room_with(18, 1), start).decision ==
                  admission_decision{});
        }
        SUBCASE("leaves nothing to release once all callers of a full queue have left")
        {
            gate.remove(service, 1);
            CHECK(gate.services_waiting().empty());
        }
    }
}

TEST_CASE("the use of a service without room by two accounts")
{
    const auto other = account_id::of("another parish");
    const auto full = room_with(18, 37);
    admission_gate gate{{true}, 1};
    const auto ask = [&](std::uint64_t ticket, account_id from, time_point now)
    {
        auto request = request_at(ticket, now, milliseconds{500});
        request.account = from;
        return gate.ask(service, request, full, now).decision;
    };
    REQUIRE(ask(1, account, start).verdict == admission_verdict::wait);
    REQUIRE(ask(2, other, start).verdict == admission_verdict::wait);
    const auto first_released = [&]
    { return gate.release(service, room_with(18, 35), start).front().ticket; };

    SUBCASE("goes by arrival while both have used as much")
    {
        CHECK(first_released() == 1);
    }
    SUBCASE("counts what an account has used at other instances (guards against an account that "
            "gets more by calling many instances)")
    {
        gate.on_usage({service, {{account, 20}, {other, 3}}}, start);
        CHECK(first_released() == 2);
    }
    SUBCASE("is reported once to the own domain and once to the others")
    {
        REQUIRE(gate.release(service, room_with(18, 30), start).size() == 2);
        const auto reports = gate.take_usage(true, start);
        REQUIRE(reports.size() == 1);
        CHECK(reports.front().service == service);
        CHECK(reports.front().accounts.size() == 2);
        CHECK(gate.take_usage(true, start).empty());
        CHECK(gate.take_usage(false, start) == reports);
    }
    SUBCASE("is not reported")
    {
        SUBCASE("if it was reported by another instance (guards against use that is passed around)")
        {
            gate.on_usage({service, {{account, 20}}}, start);
            CHECK(gate.take_usage(true, start).empty());
        }
        SUBCASE("some time after the last wait")
        {
            REQUIRE(gate.release(service, room_with(18, 30), start).size() == 2);
            const auto later = start + admission_gate::usage_report_time + milliseconds{1};
            CHECK(gate.take_usage(true, later).empty());
        }
    }
}

TEST_CASE("a report of the use by many accounts names those with most of it, the others next time")
{
    account_usage usage;
    for (std::uint64_t n = 1; n <= 20; ++n)
    {
        usage.charge(account_id{n}, static_cast<double>(n), start);
    }
    // An account that is new starts with the least use of the others.
    const auto first = usage.take_unreported(true, start);
    REQUIRE(first.size() == max_usage_accounts);
    CHECK(first.front() == account_use{account_id{20}, 20});
    CHECK(usage.take_unreported(true, start).size() == 20 - max_usage_accounts);
    CHECK(usage.take_unreported(true, start).empty());
}
