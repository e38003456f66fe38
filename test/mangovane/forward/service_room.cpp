// Tests of the room of a service as an instance knows it, and of admission by it. Guards against
// requests that are held back although an endpoint has room, and against room that is counted where
// no request may go.
#include "mangovane/forward/service_room.hpp"

#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr std::uint32_t slots = 6;

absl::StatusOr<settings_ptr> read_settings(const std::string& text, store_revision version)
{
    auto result = make_settings(version.number);
    result->text = text;
    return settings_ptr{result};
}

forward_options options_with(bool admission)
{
    auto result = make_options("self", "near");
    result.admission.enabled = admission;
    return result;
}

endpoint_change entry_of(const std::string& name, std::uint32_t stated, const std::string& domain)
{
    auto result = make_entry(name, plain_service, domain, 1);
    result.info->slots = stated;
    return result;
}

/// An instance with two endpoints of a plain service in different domains.
struct lone_instance
{
    explicit lone_instance(bool admission = true, std::uint32_t stated = slots)
        : core{options_with(admission), sink, &read_settings, start}
    {
        core.adopt_settings(settings, start);
        core.catalog().replace({entry_of("one", stated, "near"), entry_of("two", slots, "far")}, 2,
                               start);
        core.refresh(start);
    }

    [[nodiscard]] service_room room(time_point now = start)
    {
        return core.room_of(plain_service, now);
    }

    /// Requests of another instance in flight, and those of it that have ended lately.
    void hear(std::uint16_t in_flight, std::uint8_t successes, time_point now = start)
    {
        load_digest digest;
        digest.endpoints.push_back({endpoint_id::of("one"), in_flight, 0, successes});
        core.on_message(instance_id::of("other"), digest, now);
    }

    recording_sink sink;
    settings_ptr settings = make_settings(1);
    forward_core core;
};

/// An endpoint's statement about its load.
endpoint_notice stating(std::uint32_t stated_slots)
{
    endpoint_notice result;
    result.load = stated_load{};
    result.load->slots = stated_slots;
    return result;
}

} // namespace

TEST_CASE("the room of a service")
{
    lone_instance instance;
    auto& core = instance.core;

    SUBCASE("is the sum over its endpoints")
    {
        const auto room = instance.room();
        CHECK(room.known());
        CHECK(room.endpoints == 2);
        CHECK(room.slots == 2 * slots);
        CHECK(room.in_flight == 0);
    }
    SUBCASE("counts the requests of this instance at once")
    {
        const auto request = make_request(instance.settings, "status");
        const auto chosen = core.choose(request, {}, choice_purpose::dispatch, start);
        REQUIRE(chosen);
        CHECK(instance.room().own == 1);
        CHECK(instance.room().in_flight == 1);
        core.finish(chosen->endpoint, health_outcome::answered, start);
        CHECK(instance.room().in_flight == 0);
        CHECK(instance.room().own_completions_per_s > 0);
    }
    SUBCASE("counts those of the other instances as last reported (guards against a half-loaded "
            "service that seems full as its requests that have ended are not subtracted)")
    {
        instance.hear(4, 9);
        const auto later = start + milliseconds{500};
        CHECK(instance.room().in_flight == 4);
        CHECK(instance.room().completions_per_s > 0);
        CHECK(instance.room().own_completions_per_s == 0);
        CHECK(instance.room(later).age == milliseconds{500});
        CHECK(instance.room(later).in_flight == 4);
    }
    SUBCASE("loses an endpoint")
    {
        SUBCASE("whose domain is taken out, at once")
        {
            auto settings = make_settings(2);
            settings->domains_out.insert(domain_id::of("far"));
            core.adopt_settings(settings, start);
            CHECK(instance.room().slots == slots);
        }
        SUBCASE("that has said that it is leaving")
        {
            endpoint_notice leaving;
            leaving.leaving = true;
            core.on_notice({endpoint_id::of("one"), "one", {}, 0}, leaving, start);
            CHECK(instance.room().slots == slots);
        }
        SUBCASE("that this instance cannot reach")
        {
            core.tracker().on_started(endpoint_id::of("one"));
            core.finish(endpoint_id::of("one"), health_outcome::unreachable, start);
            CHECK(instance.room().slots == slots);
        }
        SUBCASE("that fails more often than the others")
        {
            for (int n = 0; n != 4; ++n)
            {
                core.tracker().on_started(endpoint_id::of("one"));
                core.finish(endpoint_id::of("one"), health_outcome::failed, start);
                core.tracker().on_started(endpoint_id::of("two"));
                core.finish(endpoint_id::of("two"), health_outcome::answered, start);
            }
            CHECK(instance.room().slots == slots);
            CHECK(instance.room().endpoints == 1);
        }
    }
    SUBCASE("of a service without endpoints is not known")
    {
        CHECK_FALSE(core.room_of(model_service, start).known());
    }
}

TEST_CASE("slots that an endpoint's entry does not state")
{
    lone_instance instance{true, 0};
    CHECK_FALSE(instance.room().known());

    SUBCASE("are those that it states in its responses")
    {
        instance.core.on_notice({endpoint_id::of("one"), "one", {}, 0}, stating(9), start);
        CHECK(instance.room().known());
        CHECK(instance.room().slots == 9 + slots);
    }
    SUBCASE("leave admission off: its requests are sent however many are in flight")
    {
        instance.hear(100, 0);
        const auto request = make_request(instance.settings, "status");
        CHECK(instance.core.ask_admission(request, start) == admission_answer{});
    }
}

TEST_CASE("a request of a service without room")
{
    lone_instance instance;
    instance.hear(4 * slots + 1, 30);
    auto request = make_request(instance.settings, "status");
    const auto ask = [&] { return instance.core.ask_admission(request, start); };

    SUBCASE("waits until its turn")
    {
        const auto answer = ask();
        REQUIRE(answer.decision.verdict == admission_verdict::wait);
        CHECK(answer.decision.at == request.deadline);
        CHECK(answer.place == 1);
        CHECK(instance.core.release_waiting(start).empty());
        instance.hear(0, 30);
        const auto released = instance.core.release_waiting(start);
        REQUIRE(released.size() == 1);
        CHECK(released.front().ticket == answer.ticket);
        CHECK(released.front().decision.verdict == admission_verdict::send);
    }
    SUBCASE("has to start early enough for the usual response of its route")
    {
        instance.core.on_delivered(request, milliseconds{300});
        CHECK(ask().decision.at == request.deadline - milliseconds{300});

        SUBCASE("and is refused at once if it cannot")
        {
            request.deadline = start + milliseconds{310};
            const auto decision = ask().decision;
            CHECK(decision.verdict == admission_verdict::refuse);
            CHECK(decision.reason == admission_reason::too_late);
            CHECK(decision.at > start);
        }
    }
    SUBCASE("that was refused goes before a newcomer when it returns with the same prompt")
    {
        request.prompt = {{1, 512}, {77, 130}};
        request.deadline = start;
        REQUIRE(ask().decision.verdict == admission_verdict::refuse);
        request.deadline = start + milliseconds{1000};
        auto newcomer = request;
        newcomer.prompt.back().id = 78;
        (void)instance.core.ask_admission(newcomer, start);
        const auto returned = ask();
        REQUIRE(returned.decision.verdict == admission_verdict::wait);
        instance.hear(0, 30);
        CHECK(instance.core.release_waiting(start).front().ticket == returned.ticket);
    }
    SUBCASE("frees its place when its caller leaves")
    {
        const auto answer = ask();
        instance.core.on_wait_ended(request, answer.ticket, start);
        CHECK(instance.core.admission().waiting() == 0);
    }
    SUBCASE(
        "is sent once no endpoint's slots restrict it (guards against a wait for endpoints that "
        "have left)")
    {
        const auto answer = ask();
        instance.core.catalog().replace({}, 3, start);
        instance.core.refresh(start);
        CHECK(instance.core.release_waiting(start) ==
              std::vector{admission_outcome{answer.ticket, {}}});
    }
    SUBCASE("is sent at once as before while admission is off")
    {
        lone_instance plain{false};
        plain.hear(100, 0);
        CHECK(plain.core.ask_admission(request, start) == admission_answer{});
        CHECK(plain.core.choose(request, {}, choice_purpose::dispatch, start).has_value());
    }
}

TEST_CASE("an instance that sends requests of a service without room")
{
    lone_instance instance;
    auto& core = instance.core;
    core.on_instance_list({{"other", "10.0.0.8:7000", domain_id::of("near")}}, start);
    auto request = make_request(instance.settings, "status");
    request.account = account_id::of("parish");

    SUBCASE("reports their use to the others")
    {
        instance.hear(4 * slots + 1, 30);
        REQUIRE(core.ask_admission(request, start).decision.verdict == admission_verdict::wait);
        instance.hear(0, 30);
        REQUIRE(core.release_waiting(start).size() == 1);
        core.tick(start + seconds{1});
        const auto reports = instance.sink.of<usage_report>();
        REQUIRE(reports.size() == 1);
        CHECK(reports.front().accounts == std::vector{account_use{request.account, 1}});
    }
    SUBCASE("reports nothing while none of them waits")
    {
        REQUIRE(core.ask_admission(request, start).decision == admission_decision{});
        core.tick(start + seconds{1});
        CHECK(instance.sink.of<usage_report>().empty());
    }
}

TEST_CASE("the number of instances that share a service's room")
{
    live_instances live;
    live.record(4, false, start);
    CHECK(live.value() == live_count{4, false});

    SUBCASE(
        "stays while the others are lost one after the other (guards against a share that grows "
        "as a partition is noticed)")
    {
        for (const std::uint32_t left : {3, 2, 1})
        {
            live.record(left, true, start + milliseconds{100});
        }
        CHECK(live.value() == live_count{4, true});
        live.record(1, true, start + 10 * live_instances::period);
        CHECK(live.value() == live_count{4, true});
    }
    SUBCASE("falls when they leave on their own")
    {
        live.record(1, false, start + live_instances::period);
        live.record(1, false, start + 2 * live_instances::period);
        CHECK(live.value() == live_count{1, false});
    }
}

TEST_CASE("the room of an instance that hears from no other")
{
    service_room room;
    room.live_instances = 10;
    room.hears_no_other = true;
    room = room.with({1, 0, {}, 0, 0, 0, 18, 1}, 20);

    SUBCASE("is what all others would take that do as it does")
    {
        CHECK(room.assumed().in_flight == 10);
        CHECK(room.assumed().completions_per_s == 200);
        CHECK(room.assumed().free() * room.share() == doctest::Approx(0.8));
    }
    SUBCASE("is at least one slot for each instance")
    {
        room.live_instances = 100;
        CHECK(room.assumed().slots == 100);
    }
}
