// Tests of the forward flow: which requests are sent again, to which endpoint, and which result the
// caller gets. Guards against running a request twice, and against reporting that a request did not
// run when it may have.
#include "mangovane/forward/forward_flow.hpp"

#include <algorithm>
#include <deque>

#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using test::start;

namespace
{

/// Offers endpoints in a fixed order, and a limited number of retries.
class fake_chooser final : public endpoint_chooser
{
public:
    dispatch_choice choose(const forward_request&,
                           std::span<const endpoint_id> excluded,
                           choice_purpose purpose,
                           time_point) override
    {
        if (refusal)
        {
            return *refusal;
        }
        for (const auto& it : endpoints)
        {
            const auto id = endpoint_id::of(it);
            const bool tried = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
            const bool busy = purpose == choice_purpose::replacement && it == busy_endpoint;
            if (!tried && !busy)
            {
                ++started;
                return dispatch_target{id, it};
            }
        }
        return choice_refusal{};
    }
    void finish(endpoint_id, health_outcome outcome, time_point) override
    {
        outcomes.push_back(outcome);
    }
    void on_survived(const forward_request&, time_point) override { ++survivals; }
    bool on_crash(const forward_request&, endpoint_id, incarnation, time_point) override
    {
        ++crashes;
        return !suspected;
    }
    bool try_retry(service_id, time_point) override
    {
        if (retries == 0)
        {
            return false;
        }
        --retries;
        return true;
    }

    admission_answer ask_admission(const forward_request&, time_point) override
    {
        ++asked;
        return answer;
    }
    void on_wait_ended(const forward_request&, std::uint64_t ticket, time_point) override
    {
        ended_waits.push_back(ticket);
    }
    admission_decision expire_wait(const forward_request&, std::uint64_t, time_point now) override
    {
        return {admission_verdict::refuse, admission_reason::too_late, now + milliseconds{250}};
    }

    admission_answer answer; ///< To requests for admission.
    int asked{0};
    std::vector<std::uint64_t> ended_waits;
    std::vector<std::string> endpoints{"one", "two", "three", "four", "five"};
    std::string busy_endpoint; ///< Accepts requests, but is not expected to start them at once.
    std::vector<health_outcome> outcomes;
    int retries{10};
    int started{0};
    int survivals{0};
    int crashes{0};
    bool suspected{false};                 ///< The request is suspected of another crash.
    std::optional<choice_refusal> refusal; ///< Refuses all requests.
};

const settings_ptr settings = test::make_settings(1);

std::string sent_to(const forward_step& step)
{
    const auto* it = std::get_if<send_step>(&step);
    return it == nullptr ? std::string{} : it->target.name;
}

error_kind refused_with(const forward_step& step)
{
    const auto* it = std::get_if<refuse_step>(&step);
    return it == nullptr ? error_kind::internal : it->kind;
}

} // namespace

TEST_CASE("a request that may run only once")
{
    fake_chooser chooser;
    forward_flow flow{test::make_request(settings, "grant"), chooser};
    auto step = flow.start(start);
    REQUIRE(sent_to(step) == "one");

    SUBCASE("is never sent again once an endpoint may have run it")
    {
        for (const auto result :
             {attempt_result::broken, attempt_result::stalled, attempt_result::timed_out})
        {
            forward_flow other{test::make_request(settings, "grant"), chooser};
            (void)other.start(start);
            const auto next = other.on_result(result, start);
            const auto kind = refused_with(next);
            CAPTURE(static_cast<int>(result));
            // The error must not state that the request did not run.
            CHECK(std::holds_alternative<refuse_step>(next));
            CHECK_FALSE(descriptor_of(kind).not_run);
            CHECK(descriptor_of(kind).http_status != 503);
            CHECK(descriptor_of(kind).http_status != 429);
        }
    }
    SUBCASE("has the error response of the endpoint relayed unchanged")
    {
        CHECK(
            std::holds_alternative<relay_error_step>(flow.on_result(attempt_result::error, start)));
    }
    SUBCASE("goes to another endpoint when it certainly did not run")
    {
        step = flow.on_result(attempt_result::not_sent, start);
        CHECK(sent_to(step) == "two");
        step = flow.on_result(attempt_result::refused, start);
        CHECK(sent_to(step) == "three");

        SUBCASE(
            "a limited number of times; then it is refused as not run, with a delay for a retry")
        {
            step = flow.on_result(attempt_result::misdirected, start);
            const auto* refusal = std::get_if<refuse_step>(&step);
            REQUIRE(refusal != nullptr);
            CHECK(descriptor_of(refusal->kind).http_status == 503);
            CHECK(descriptor_of(refusal->kind).not_run);
            CHECK(refusal->retry_after > milliseconds{0});
        }
        SUBCASE("and not again once it may have run")
        {
            step = flow.on_result(attempt_result::broken, start);
            CHECK(refused_with(step) == error_kind::outcome_unknown);
        }
    }
    SUBCASE("is not abandoned when it stalls")
    {
        CHECK(std::get<send_step>(step).first_byte_deadline == time_point::max());
        CHECK_FALSE(flow.prepare_replacement(start + milliseconds{500}));
    }
    SUBCASE("is not sent on a choice made before a pause of the process")
    {
        // The endpoint may have left, or its domain may have been taken out, meanwhile.
        const auto woken = start + milliseconds{700};
        CHECK(std::get<send_step>(step).send_deadline < woken);

        SUBCASE("but on a new choice, which may be the same endpoint")
        {
            const auto next = flow.on_result(attempt_result::outdated, woken);
            CHECK(sent_to(next) == "one");
            CHECK(chooser.outcomes.back() == health_outcome::cancelled);
            CHECK(std::get<send_step>(next).send_deadline > woken);
            CHECK_FALSE(flow.may_have_run());
        }
        SUBCASE("and is refused as not run if its deadline has passed")
        {
            const auto next = flow.on_result(attempt_result::outdated, start + seconds{60});
            CHECK(refused_with(next) == error_kind::deadline_exceeded);
            CHECK(descriptor_of(refused_with(next)).not_run);
        }
    }
}

TEST_CASE("a request that may run more than once")
{
    fake_chooser chooser;
    forward_flow flow{test::make_request(settings, "status"), chooser};
    auto step = flow.start(start);

    SUBCASE("is sent to another endpoint after a failure, as often as its route allows")
    {
        step = flow.on_result(attempt_result::error, start);
        CHECK(sent_to(step) == "two");
        step = flow.on_result(attempt_result::error, start);
        CHECK(std::holds_alternative<relay_error_step>(step));
        CHECK(chooser.started == 2);
    }
    SUBCASE("abandons a stalled endpoint after most of the latency objective")
    {
        const auto give_up = std::get<send_step>(step).first_byte_deadline;
        CHECK(give_up < start + milliseconds{300});
        CHECK(flow.prepare_replacement(give_up));
        step = flow.on_result(attempt_result::stalled, give_up);
        CHECK(sent_to(step) == "two");
        // The second attempt is the last that the route allows.
        CHECK(std::get<send_step>(step).first_byte_deadline == time_point::max());
        // One retry was taken from the budget, not two.
        CHECK(chooser.retries == 9);
    }
    SUBCASE("stays at a stalled endpoint while no other one can start it")
    {
        // The endpoint was given up first, and the request then refused: a sole endpoint that took
        // 300 ms was never waited for.
        const auto give_up = std::get<send_step>(step).first_byte_deadline;

        SUBCASE("because there is none")
        {
            chooser.endpoints.resize(1);
        }
        SUBCASE("because the others are full, cold, closed or taken out")
        {
            chooser.refusal = choice_refusal{};
        }
        SUBCASE("because the other one fails or is at its load bound")
        {
            chooser.endpoints.resize(2);
            chooser.busy_endpoint = "two";
        }
        SUBCASE("because the retry budget is exhausted")
        {
            chooser.retries = 0;
        }
        const auto started = chooser.started;
        const auto retries = chooser.retries;
        CHECK_FALSE(flow.prepare_replacement(give_up));
        CHECK(chooser.retries == retries);
        // An endpoint that was chosen in vain does not keep the request in its load.
        CHECK(chooser.started - started == static_cast<int>(chooser.outcomes.size()));
        step = flow.on_result(attempt_result::delivered, give_up + milliseconds{50});
        CHECK(std::holds_alternative<finish_step>(step));
    }
    SUBCASE("goes to the endpoint that was chosen when the stalled one was given up")
    {
        REQUIRE(flow.prepare_replacement(start + milliseconds{250}));
        chooser.refusal = choice_refusal{};
        step = flow.on_result(attempt_result::stalled, start + milliseconds{260});
        CHECK(sent_to(step) == "two");
        // The choice is as old as the replacement, not as the attempt.
        CHECK(std::get<send_step>(step).send_deadline ==
              start + milliseconds{250} + forward_flow::max_choice_age);

        SUBCASE("and back to the stalled one if that one rejects it and there is no other")
        {
            chooser.refusal.reset();
            chooser.endpoints.resize(2);
            step = flow.on_result(attempt_result::refused, start + milliseconds{270});
            CHECK(sent_to(step) == "one");
        }
    }
    SUBCASE("frees the chosen endpoint if its caller has left meanwhile")
    {
        REQUIRE(flow.prepare_replacement(start + milliseconds{250}));
        (void)flow.on_result(attempt_result::caller_left, start + milliseconds{260});
        CHECK(chooser.started == 2);
        CHECK(chooser.outcomes ==
              std::vector{health_outcome::cancelled, health_outcome::cancelled});
    }
    SUBCASE("passes on an endpoint's error if no other endpoint can be chosen")
    {
        chooser.endpoints.resize(1);
        step = flow.on_result(attempt_result::error, start);
        CHECK(std::holds_alternative<relay_error_step>(step));
        CHECK(chooser.retries == 10);
    }
    SUBCASE("is not sent again without retry budget: retries must not amplify an outage")
    {
        chooser.retries = 0;
        CHECK_FALSE(flow.prepare_replacement(start + milliseconds{250}));
        CHECK(
            std::holds_alternative<relay_error_step>(flow.on_result(attempt_result::error, start)));
    }
    SUBCASE("is not continued at another endpoint once part of its response has been sent")
    {
        // Only the events of a stream can be continued; the rest would be joined to a part of
        // another response.
        flow.on_response_started();
        CHECK_FALSE(flow.prepare_replacement(start + milliseconds{250}));
        step = flow.on_result(attempt_result::cut, start);
        REQUIRE(std::holds_alternative<finish_step>(step));
        CHECK_FALSE(std::get<finish_step>(step).complete);
        CHECK(chooser.started == 1);
    }
    SUBCASE("is not sent after its deadline")
    {
        step = flow.on_result(attempt_result::not_sent, start + milliseconds{1000});
        CHECK(refused_with(step) == error_kind::deadline_exceeded);
        CHECK(chooser.started == 1);
    }
}

TEST_CASE("a stream")
{
    fake_chooser chooser;

    SUBCASE("that is resumable continues at another endpoint")
    {
        forward_flow flow{test::make_request(settings, "rights", 5), chooser};
        auto step = flow.start(start);
        // A slow stream whose events keep within the objective of 600 ms is not abandoned.
        CHECK(std::get<send_step>(step).progress_timeout >= milliseconds{600});
        flow.on_response_started();
        step = flow.on_result(attempt_result::cut, start);
        REQUIRE(sent_to(step) == "two");
        CHECK(std::get<send_step>(step).resumes);

        SUBCASE("but not while it only pauses and no other endpoint can be chosen")
        {
            // The stream was cut, though its endpoint was sound and went on 0.4 s later.
            forward_flow other{test::make_request(settings, "rights", 6), chooser};
            (void)other.start(start);
            other.on_response_started();
            chooser.refusal = choice_refusal{};
            CHECK_FALSE(other.prepare_replacement(start + milliseconds{700}));
            chooser.refusal.reset();
            CHECK(other.prepare_replacement(start + milliseconds{900}));
        }
        SUBCASE("once; then it ends incomplete")
        {
            step = flow.on_result(attempt_result::cut, start);
            REQUIRE(std::holds_alternative<finish_step>(step));
            CHECK_FALSE(std::get<finish_step>(step).complete);
        }
        SUBCASE(
            "and ends incomplete, not refused, when no endpoint is left: its header has been sent")
        {
            chooser.endpoints.resize(2);
            step = flow.on_result(attempt_result::not_sent, start);
            REQUIRE(std::holds_alternative<finish_step>(step));
            CHECK_FALSE(std::get<finish_step>(step).complete);
        }
    }
    SUBCASE("that is resumable but has an event without an id ends where it broke off")
    {
        // It was sent again without the id of the last event, and began anew in the same response.
        forward_flow flow{test::make_request(settings, "rights", 5), chooser};
        (void)flow.start(start);
        flow.on_response_started();
        flow.on_not_resumable();
        CHECK_FALSE(flow.prepare_replacement(start + milliseconds{700}));
        const auto step = flow.on_result(attempt_result::cut, start);
        REQUIRE(std::holds_alternative<finish_step>(step));
        CHECK_FALSE(std::get<finish_step>(step).complete);
        CHECK(chooser.started == 1);
    }
    SUBCASE("that is not resumable ends where it broke off")
    {
        forward_flow flow{test::make_request(settings, "review", 5), chooser};
        (void)flow.start(start);
        flow.on_response_started();
        const auto step = flow.on_result(attempt_result::cut, start);
        REQUIRE(std::holds_alternative<finish_step>(step));
        CHECK_FALSE(std::get<finish_step>(step).complete);
    }
}

TEST_CASE("a request under which an endpoint crashes before it answers")
{
    fake_chooser chooser;
    forward_flow flow{test::make_request(settings, "rights", 5), chooser};
    auto step = flow.start(start);

    SUBCASE("is sent to another endpoint once")
    {
        step = flow.on_result(attempt_result::crashed, start);
        CHECK(sent_to(step) == "two");
        step = flow.on_result(attempt_result::crashed, start);
        CHECK(refused_with(step) == error_kind::endpoint_failed);
        CHECK(chooser.started == 2);
        CHECK(chooser.crashes == 2);
    }
    SUBCASE(
        "is not sent again if its prompt is suspected of another crash: it would crash a second")
    {
        chooser.suspected = true;
        step = flow.on_result(attempt_result::crashed, start);
        CHECK(refused_with(step) == error_kind::endpoint_failed);
        CHECK(chooser.started == 1);
    }
    SUBCASE("is not sent again if its prompt has been quarantined meanwhile, and may have run")
    {
        chooser.refusal = choice_refusal{error_kind::prompt_quarantined, start + seconds{30}, {}};
        step = flow.on_result(attempt_result::crashed, start);
        CHECK(refused_with(step) == error_kind::endpoint_failed);
        CHECK(flow.may_have_run());
    }
    SUBCASE("is never sent again if it may run only once")
    {
        forward_flow single{test::make_request(settings, "review", 5), chooser};
        (void)single.start(start);
        step = single.on_result(attempt_result::crashed, start);
        CHECK(refused_with(step) == error_kind::outcome_unknown);
    }
    SUBCASE("ends incomplete if a part of an event has been sent to the caller")
    {
        forward_flow single{test::make_request(settings, "review", 5), chooser};
        (void)single.start(start);
        single.on_response_started();
        step = single.on_result(attempt_result::crashed, start);
        REQUIRE(std::holds_alternative<finish_step>(step));
        CHECK_FALSE(std::get<finish_step>(step).complete);
        CHECK(chooser.crashes == 1);
    }
    SUBCASE("counts as harmless only once an endpoint has survived it")
    {
        // One event was taken as proof: prompts that crash endpoints after it were never held back.
        flow.on_response_started();
        flow.on_event(start);
        flow.on_event(start + milliseconds{500});
        CHECK(flow.answered());
        CHECK_FALSE(flow.survived());
        CHECK(chooser.survivals == 0);

        SUBCASE("which is when its response has gone on for some time")
        {
            flow.on_event(start + forward_flow::survival_time);
            flow.on_event(start + forward_flow::survival_time * 2);
            CHECK(flow.survived());
            CHECK(chooser.survivals == 1);
        }
        SUBCASE("or is complete")
        {
            (void)flow.on_result(attempt_result::delivered, start + milliseconds{600});
            CHECK(chooser.survivals == 1);
        }
        SUBCASE("but not if its process ended with the response, which goes on at another")
        {
            step = flow.on_result(attempt_result::crashed, start + milliseconds{600});
            REQUIRE(sent_to(step) == "two");
            CHECK(std::get<send_step>(step).resumes);
            CHECK(chooser.survivals == 0);
            CHECK(chooser.crashes == 1);
        }
        SUBCASE("and not if the next endpoint has only just begun")
        {
            step = flow.on_result(attempt_result::cut, start + milliseconds{600});
            REQUIRE(sent_to(step) == "two");
            flow.on_event(start + forward_flow::survival_time);
            CHECK_FALSE(flow.survived());
        }
    }
}

TEST_CASE("a request with a quarantined prompt is refused immediately, with the reason")
{
    fake_chooser chooser;
    const part_verdict verdict{5, 3, start - seconds{9}, start - seconds{2}};
    chooser.refusal = choice_refusal{error_kind::prompt_quarantined, start + seconds{30}, verdict};
    forward_flow flow{test::make_request(settings, "review", 5), chooser};
    const auto step = flow.start(start);
    REQUIRE(std::holds_alternative<refuse_step>(step));
    const auto& refusal = std::get<refuse_step>(step);
    CHECK(descriptor_of(refusal.kind).not_run);
    CHECK(descriptor_of(refusal.kind).http_status == 503);
    CHECK(refusal.retry_after >= seconds{30});
    CHECK(refusal.verdict == verdict);
    CHECK_FALSE(flow.may_have_run());
    CHECK(chooser.started == 0);
}

TEST_CASE("a request that no endpoint accepts is refused immediately")
{
    fake_chooser chooser;
    chooser.endpoints.clear();
    forward_flow flow{test::make_request(settings, "grant"), chooser};
    const auto step = flow.start(start);
    CHECK(refused_with(step) == error_kind::no_endpoint);
    CHECK_FALSE(flow.may_have_run());
}

TEST_CASE("a request that still runs when a stop ends its work")
{
    fake_chooser chooser;
    forward_flow once{test::make_request(settings, "grant"), chooser};
    forward_flow repeatable{test::make_request(settings, "status"), chooser};
    forward_flow resumable{test::make_request(settings, "rights", 5), chooser};
    for (auto* it : {&once, &repeatable, &resumable})
    {
        REQUIRE(sent_to(it->start(start)) == "one");
        it->on_stop();
    }
    chooser.started = 0;

    SUBCASE("is refused as not run if nothing was sent")
    {
        for (auto* it : {&once, &repeatable, &resumable})
        {
            CHECK(refused_with(it->on_result(attempt_result::outdated, start)) ==
                  error_kind::stopping);
            CHECK_FALSE(it->may_have_run());
        }
    }
    SUBCASE("gets an error that promises nothing if it may have run")
    {
        CHECK(refused_with(once.on_result(attempt_result::stopped, start)) ==
              error_kind::outcome_unknown);
        CHECK(refused_with(repeatable.on_result(attempt_result::stopped, start)) ==
              error_kind::endpoint_failed);
    }
    SUBCASE("ends incomplete if its response has begun")
    {
        resumable.on_response_started();
        const auto step = resumable.on_result(attempt_result::stopped, start);
        CHECK(std::holds_alternative<finish_step>(step));
        CHECK_FALSE(std::get<finish_step>(step).complete);
    }
    SUBCASE("is not sent to another endpoint, whatever the attempt's result is")
    {
        for (const auto result : {attempt_result::broken, attempt_result::not_sent,
                                  attempt_result::refused, attempt_result::error})
        {
            forward_flow flow{test::make_request(settings, "status"), chooser};
            (void)flow.start(start);
            flow.on_stop();
            chooser.started = 0;
            CHECK(sent_to(flow.on_result(result, start)).empty());
            CHECK(chooser.started == 0);
        }
    }
}

TEST_CASE("each attempt result is reported with its health outcome")
{
    fake_chooser chooser;
    const std::vector<std::pair<attempt_result, health_outcome>> expected{
        {attempt_result::delivered, health_outcome::answered},
        {attempt_result::crashed, health_outcome::crashed},
        {attempt_result::not_sent, health_outcome::unreachable},
        {attempt_result::refused, health_outcome::full},
        {attempt_result::misdirected, health_outcome::replaced},
        {attempt_result::error, health_outcome::failed},
        {attempt_result::broken, health_outcome::failed},
        {attempt_result::caller_left, health_outcome::cancelled},
        {attempt_result::stopped, health_outcome::cancelled}};
    for (const auto& [result, outcome] : expected)
    {
        forward_flow flow{test::make_request(settings, "grant"), chooser};
        (void)flow.start(start);
        (void)flow.on_result(result, start);
        CHECK(chooser.outcomes.back() == outcome);
    }
}

TEST_CASE("admission of a request to a service without room")
{
    constexpr std::uint64_t ticket = 7;
    const auto until = start + milliseconds{400};
    const auto later = start + milliseconds{100};
    fake_chooser chooser;
    chooser.answer = {{admission_verdict::wait, admission_reason::none, until}, ticket};
    forward_flow flow{test::make_request(settings, "status"), chooser};

    SUBCASE("that is advised to wait: it starts no attempt and holds no endpoint")
    {
        REQUIRE(flow.start(start) == forward_step{wait_step{ticket, until}});
        CHECK(chooser.started == 0);

        SUBCASE("and is sent when its turn comes")
        {
            CHECK(sent_to(flow.on_admission({}, later)) == "one");
            CHECK(chooser.ended_waits == std::vector{ticket});

            SUBCASE("but never waits again (guards against a retry that queues twice)")
            {
                CHECK(sent_to(flow.on_result(attempt_result::not_sent, later)) == "two");
                CHECK(chooser.asked == 1);
            }
        }
        SUBCASE("and is refused, without an attempt, when it loses its place")
        {
            const admission_decision lost{admission_verdict::refuse, admission_reason::displaced,
                                          later + milliseconds{321}};
            const auto step = flow.on_admission(lost, later);
            const auto* it = std::get_if<refuse_step>(&step);
            REQUIRE(it != nullptr);
            CHECK(it->kind == error_kind::overloaded);
            CHECK(it->retry_after == milliseconds{321});
            CHECK(it->admission == admission_reason::displaced);
            CHECK(chooser.started == 0);
            CHECK_FALSE(flow.may_have_run());
        }
        SUBCASE("and is refused when its turn has not come in time")
        {
            const auto step = flow.on_wait_over(false, until);
            const auto* it = std::get_if<refuse_step>(&step);
            REQUIRE(it != nullptr);
            CHECK(it->kind == error_kind::overloaded);
            CHECK(it->admission == admission_reason::too_late);
            CHECK(it->retry_after == milliseconds{250});
            CHECK(chooser.ended_waits == std::vector{ticket});
        }
        SUBCASE("and frees its place when its caller leaves")
        {
            CHECK(flow.on_wait_over(true, later) == forward_step{finish_step{false}});
            CHECK(chooser.ended_waits == std::vector{ticket});
            CHECK(chooser.started == 0);
        }
        SUBCASE("and is refused as not run when the instance stops")
        {
            flow.on_stop();

            SUBCASE("while it waits")
            {
                CHECK(refused_with(flow.on_wait_over(false, later)) == error_kind::stopping);
            }
            SUBCASE("as its turn comes")
            {
                CHECK(refused_with(flow.on_admission({}, later)) == error_kind::stopping);
            }
            CHECK(chooser.ended_waits == std::vector{ticket});
            CHECK(chooser.started == 0);
        }
        SUBCASE("and frees its place when the session fails")
        {
            flow.abandon(later);
            CHECK(chooser.ended_waits == std::vector{ticket});
        }
        SUBCASE("and is not sent after its deadline")
        {
            const auto late = flow.request().deadline;
            CHECK(refused_with(flow.on_admission({}, late)) == error_kind::deadline_exceeded);
            CHECK(chooser.started == 0);
        }
    }
    SUBCASE("that is refused at once gets the time at which room is expected")
    {
        chooser.answer.decision = {admission_verdict::refuse, admission_reason::too_late,
                                   start + milliseconds{900}};
        const auto step = flow.start(start);
        const auto* it = std::get_if<refuse_step>(&step);
        REQUIRE(it != nullptr);
        CHECK(it->kind == error_kind::overloaded);
        CHECK(it->retry_after == milliseconds{900});
        CHECK(chooser.ended_waits.empty());
    }
}
