// Guards against a shortage that falls on the wrong callers: urgent ones that wait behind others,
// accounts that pay for another's burst, requests that wait although they cannot be served in time.
#include "loaded_service.hpp"

#include <doctest/doctest.h>

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr int played_ms = 5000;
constexpr milliseconds patience{300};

account_id account(std::uint64_t n)
{
    return account_id{n};
}

caller_kind kind(std::uint64_t who, std::uint8_t urgency, double part_of_capacity)
{
    return {account(who), urgency, part_of_capacity * loaded_service::capacity,
            patience,     0,       played_ms};
}

} // namespace

TEST_CASE("a service with room for all")
{
    loaded_service service{{kind(1, 2, 0.25), kind(2, 5, 0.25)}};
    service.play(played_ms);
    CHECK(service.result(0).served() == 1);
    CHECK(service.result(1).served() == 1);
    CHECK(service.result(0).longest_wait < milliseconds{100});
}

TEST_CASE("a service that is asked for twice its room")
{
    SUBCASE("serves the urgent requests, and refuses the others before they wait long")
    {
        loaded_service service{{kind(1, 2, 0.7), kind(1, 5, 1.3)}};
        service.play(played_ms);
        CHECK(service.result(0).served() > 0.98);
        CHECK(service.result(1).refused != 0);
        // One step of time is added to the wait.
        CHECK(service.result(1).longest_wait <= patience + milliseconds{1});

        SUBCASE("but lets the least urgent make progress")
        {
            const double floor =
                loaded_service::capacity * played_ms / 1000 / admission_queue::floor_interval;
            CHECK(service.result(1).sent >= 0.9 * floor);
        }
    }
    SUBCASE("lets no urgent load starve the least urgent")
    {
        loaded_service service{{kind(1, 2, 1.9), kind(2, 7, 0.1)}};
        service.play(played_ms);
        CHECK(service.result(1).served() > 0.5);
    }
    SUBCASE("is never overloaded by more than the room that is earned")
    {
        loaded_service service{{kind(1, 2, 1), kind(2, 5, 1)}};
        service.play(played_ms);
        CHECK(service.most_in_flight() <= loaded_service::slots + 3);
    }
    SUBCASE("refuses most of those that it cannot serve at once, not after a wait")
    {
        loaded_service service{{kind(1, 5, 1), kind(2, 5, 1)}};
        service.play(played_ms);
        const auto& first = service.result(0);
        CHECK(first.refused != 0);
        CHECK(first.refused_late * 4 <= first.refused);
    }
}

TEST_CASE("a burst of one account is paid for by it")
{
    auto burst = kind(1, 5, 2);
    burst.from = 1000;
    burst.until = 3000;
    loaded_service service{{burst, kind(2, 5, 0.2), kind(3, 5, 0.2)}};
    service.play(played_ms);
    CHECK(service.result(0).served() < 0.5);
    CHECK(service.result(1).served() > 0.98);
    CHECK(service.result(2).served() > 0.98);
}

TEST_CASE("a burst of one kind is paid for by it")
{
    auto burst = kind(1, 5, 2);
    burst.from = 1000;
    burst.until = 3000;
    loaded_service service{{burst, kind(1, 2, 0.4)}};
    service.play(played_ms);
    CHECK(service.result(0).served() < 0.6);
    CHECK(service.result(1).served() > 0.98);
}

TEST_CASE("the place of a request in a queue without room")
{
    const admission_room none{1, 0, 10, 1};
    const auto now = loaded_service::start;
    const auto later = now + milliseconds{900};
    admission_queue queue{{true, 2, 4000}, 1, now};
    const admission_request first{1, account(1), 5, false, 1000, 1, now, later};
    REQUIRE(queue.admit(first, none, now).verdict == admission_verdict::wait);

    SUBCASE("is behind an equal one that came before it")
    {
        auto second = first;
        second.ticket = 2;
        second.arrived_at = now + milliseconds{1};
        REQUIRE(queue.admit(second, none, now).verdict == admission_verdict::wait);
        const auto released = queue.release({1, 1, 10, 1}, now);
        REQUIRE(released.size() == 1);
        CHECK(released.front().ticket == 1);
    }
    SUBCASE("is before a newcomer if it was refused before")
    {
        auto returned = first;
        returned.ticket = 2;
        returned.returned = true;
        returned.arrived_at = now + milliseconds{1};
        REQUIRE(queue.admit(returned, none, now).verdict == admission_verdict::wait);
        CHECK(queue.release({1, 1, 10, 1}, now).front().ticket == 2);
    }
    SUBCASE("is free at once when its caller leaves")
    {
        queue.remove(1);
        CHECK(queue.waiting() == 0);
        CHECK(queue.waiting_bytes() == 0);
        CHECK(queue.release({1, 1, 10, 1}, now).empty());
    }
    SUBCASE("goes to a more urgent one when the queue is full")
    {
        auto urgent = first;
        urgent.urgency = 1;
        for (const std::uint64_t ticket : {2, 3})
        {
            urgent.ticket = ticket;
            REQUIRE(queue.admit(urgent, none, now).verdict == admission_verdict::wait);
        }
        const auto released = queue.release(none, now);
        REQUIRE(released.size() == 1);
        CHECK(released.front().ticket == 1);
        CHECK(released.front().decision.reason == admission_reason::displaced);
        CHECK(released.front().decision.at > now);

        SUBCASE("and a less urgent one is refused")
        {
            auto other = first;
            other.ticket = 4;
            const auto decision = queue.admit(other, none, now);
            CHECK(decision.verdict == admission_verdict::refuse);
            CHECK(decision.reason == admission_reason::queue_full);
        }
    }
    SUBCASE("is refused at once if its turn would come too late")
    {
        auto hurried = first;
        hurried.ticket = 2;
        hurried.start_by = now + milliseconds{150};
        const auto decision = queue.admit(hurried, none, now);
        CHECK(decision.verdict == admission_verdict::refuse);
        CHECK(decision.reason == admission_reason::too_late);
        CHECK(decision.at >= now + admission_queue::min_retry_delay / 2);
    }
    SUBCASE("ends when the time by which it has to start has passed")
    {
        const auto released = queue.release({1, 0, 0, 1}, later + milliseconds{1});
        REQUIRE(released.size() == 1);
        CHECK(released.front().decision.reason == admission_reason::too_late);
    }
    SUBCASE("counts its bytes, and one that is larger than the queue is refused")
    {
        auto large = first;
        large.ticket = 2;
        large.bytes = 5000;
        CHECK(queue.admit(large, none, now).reason == admission_reason::queue_full);
        CHECK(queue.waiting_bytes() == 1000);
    }
}

TEST_CASE("a request that returns after a refusal")
{
    constexpr std::uint64_t identity = 77;
    // Overloaded, so that no room is earned with time.
    const admission_room none{1, -1, 10, 1};
    const auto now = loaded_service::start;
    const auto back = now + milliseconds{600};
    admission_queue queue{{true, 4, 4000}, 1, now};
    const auto request = [&](std::uint64_t ticket, std::uint64_t id, time_point at)
    { return admission_request{ticket, account(1), 5, false, 10, 1, at, at + seconds{2}, id}; };
    auto late = request(1, identity, now);
    late.start_by = now;
    REQUIRE(queue.admit(late, none, now).verdict == admission_verdict::refuse);
    const auto first_of = [&](std::uint64_t id, time_point at)
    {
        REQUIRE(queue.admit(request(2, 5, at), none, at).verdict == admission_verdict::wait);
        REQUIRE(queue.admit(request(3, id, at), none, at).verdict == admission_verdict::wait);
        return queue.release({1, 1, 10, 1}, at).front().ticket;
    };

    SUBCASE("goes before a newcomer of its kind")
    {
        CHECK(first_of(identity, back) == 3);
    }
    SUBCASE("is a newcomer some time later")
    {
        CHECK(first_of(identity, now + refused_requests::memory_time + milliseconds{1}) == 2);
    }
    SUBCASE("is a newcomer if it cannot be recognised")
    {
        late.identity = 0;
        REQUIRE(queue.admit(late, none, now).verdict == admission_verdict::refuse);
        CHECK(first_of(0, back) == 2);
    }
    SUBCASE("is remembered also if it was refused after a wait")
    {
        REQUIRE(queue.admit(request(4, 8, now), none, now).verdict == admission_verdict::wait);
        REQUIRE(queue.expire(4, none, now).has_value());
        CHECK(first_of(8, back) == 3);
    }
}

TEST_CASE("the memory of refused requests is bounded")
{
    refused_requests refused;
    const auto now = loaded_service::start;
    for (std::uint64_t n = 1; n <= refused_requests::max_requests + 1; ++n)
    {
        refused.add(n, now);
    }
    CHECK(refused.contains(1, now));
    CHECK_FALSE(refused.contains(refused_requests::max_requests + 1, now));
    const auto later = now + refused_requests::memory_time + milliseconds{1};
    refused.add(refused_requests::max_requests + 1, later);
    CHECK(refused.contains(refused_requests::max_requests + 1, later));
}

TEST_CASE("callers that are refused together are advised different times")
{
    const admission_room none{1, 0, 10, 1};
    const auto now = loaded_service::start;
    admission_queue queue{{true, 1, 4000}, 1, now};
    std::vector<time_point> advised;
    for (std::uint64_t ticket = 1; ticket != 20; ++ticket)
    {
        const auto decision =
            queue.admit({ticket, account(1), 5, false, 10, 1, now, now + seconds{1}}, none, now);
        if (decision.verdict == admission_verdict::refuse)
        {
            advised.push_back(decision.at);
        }
    }
    std::sort(advised.begin(), advised.end());
    CHECK(advised.size() == 18);
    CHECK(std::unique(advised.begin(), advised.end()) == advised.end());
}

TEST_CASE("an instance keeps to its share of the room, whatever the others do")
{
    const auto now = loaded_service::start;
    constexpr double share = 0.01;
    admission_queue queue{{true}, 1, now};
    const admission_room room{18, 10, 600, share};
    std::uint32_t sent = 0;
    for (std::uint64_t n = 1; n <= 1000; ++n)
    {
        const auto at = now + milliseconds{n};
        const auto decision =
            queue.admit({n, account(1), 5, false, 10, 1, at, at + milliseconds{100}}, room, at);
        sent += decision.verdict == admission_verdict::send ? 1 : 0;
        for (const auto& it : queue.release(room, at))
        {
            sent += it.decision.verdict == admission_verdict::send ? 1 : 0;
        }
    }
    CHECK(sent <= 600 * share + 2);
    CHECK(sent >= 4);
}
