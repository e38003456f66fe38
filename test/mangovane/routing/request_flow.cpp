// Tests of the request flow, event by event: a call that is not idempotent must not be sent twice,
// an error must not state that a call did not run when it may have, and a slot, claim or answer
// that is stale after a pause or a retry must not be used.
#include "mangovane/routing/request_flow.hpp"

#include <algorithm>
#include <optional>

#include <doctest/doctest.h>

#include "mangovane/ledger/endpoint_ledger.hpp"

using namespace mangovane;

namespace
{

class stub_retry_limiter final : public retry_limiter
{
public:
    bool try_retry(service_id) override { return allowed; }
    bool allowed{true};
};

/// Settings, two endpoints, a membership view and a clock for a flow.
struct flow_fixture
{
    flow_fixture()
    {
        auto settings = std::make_shared<settings_snapshot>();
        service_policy service;
        service.id = service_id::of("ebi-ledger");
        service.kind = service_kind::plain;
        settings->services.emplace(service.id, service);
        account_policy account;
        account.id = account_id::of("parish");
        settings->accounts.emplace(account.id, account);
        std::vector<endpoint_info> endpoints(2);
        endpoints[0].id = endpoint_id::of("one");
        endpoints[1].id = endpoint_id::of("two");
        for (auto& it : endpoints)
        {
            it.service = service.id;
            it.domain = domain_id::of("ikeja-a");
            it.address = "127.0.0.1:1";
        }
        routes.emplace(std::make_shared<endpoint_directory>(endpoints), settings);
        member self;
        self.id = instance_id::of("r1");
        self.domain = domain_id::of("ikeja-a");
        view.emplace(1, now + seconds{600}, std::vector{self});
        request.account = account.id;
        request.service = service.id;
        request.deadline = now + seconds{10};
    }

    [[nodiscard]] flow_context ctx() { return {*routes, *view, *strategy, retries, 42, now}; }

    /// Runs the flow until it holds a slot; returns the actions of the grant.
    flow_actions run_to_slot(request_flow& flow)
    {
        last = flow.start(ctx());
        last = flow.on_event(limits_decided{true}, ctx());
        return grant_next(flow);
    }

    flow_actions grant_next(request_flow& flow)
    {
        while (const auto query = find<query_load>())
        {
            last.erase(std::remove_if(last.begin(), last.end(),
                                      [](const flow_action& it)
                                      { return std::holds_alternative<query_load>(it); }),
                       last.end());
            flow_actions next;
            for (const auto& it : plan_endpoints)
            {
                const auto more = flow.on_event(load_answer{query->ticket, it, 0, 0, 4}, ctx());
                next.insert(next.end(), more.begin(), more.end());
            }
            last = next;
        }
        const auto ask = find<request_slot>();
        REQUIRE(ask);
        last = flow.on_event(slot_grant{ask->request.attempt, ask->request.endpoint, 1, 4}, ctx());
        return last;
    }

    template <class Action>
    [[nodiscard]] std::optional<Action> find() const
    {
        for (const auto& it : last)
        {
            if (const auto* found = std::get_if<Action>(&it))
            {
                return *found;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] request_flow make_flow() const
    {
        return request_flow{request, attempt_id{instance_id::of("r1"), 7, 0}, 1};
    }

    time_point now{seconds{1000}};
    std::optional<routing_table> routes;
    std::optional<membership_view> view;
    std::unique_ptr<placement_strategy> strategy{make_last_two_strategy()};
    stub_retry_limiter retries;
    routed_request request;
    flow_actions last;
    std::vector<endpoint_id> plan_endpoints{endpoint_id::of("one"), endpoint_id::of("two")};
};

} // namespace

TEST_CASE_FIXTURE(flow_fixture, "a call that is not idempotent")
{
    request.idempotent = false;
    auto flow = make_flow();
    run_to_slot(flow);
    const auto sent = find<send_attempt>();
    REQUIRE(sent);

    SUBCASE("is sent again if its connection could not be opened")
    {
        last = flow.on_event(attempt_ended{sent->attempt, attempt_outcome::failed, false}, ctx());
        CHECK(find<query_load>());
        CHECK_FALSE(flow.finished());
    }

    SUBCASE("is not sent again if a byte may have reached the endpoint")
    {
        last = flow.on_event(attempt_ended{sent->attempt, attempt_outcome::failed, true}, ctx());
        const auto error = find<answer_error>();
        REQUIRE(error);
        CHECK(error->kind == error_kind::outcome_unknown);

        SUBCASE("and the error does not state that it did not run")
        {
            CHECK_FALSE(descriptor_of(error->kind).not_run);
        }
    }

    SUBCASE("continues after the caller has left, so that its outcome can be stored")
    {
        last = flow.on_event(caller_left{}, ctx());
        CHECK_FALSE(find<abort_attempt>());
        CHECK_FALSE(flow.finished());
    }

    SUBCASE("goes on when a stop accepts no more work")
    {
        last = flow.on_event(admission_ended{}, ctx());
        CHECK(last.empty());
        CHECK_FALSE(flow.finished());
    }

    SUBCASE("gets an error that promises nothing when a stop ends it")
    {
        last = flow.on_event(instance_stopping{}, ctx());
        CHECK(find<abort_attempt>());
        const auto error = find<answer_error>();
        REQUIRE(error);
        CHECK(error->kind == error_kind::outcome_unknown);
        CHECK(flow.finished());
    }

    SUBCASE("reports that it may still be running if its attempt ends at its deadline")
    {
        now = request.deadline;
        last = flow.on_event(attempt_ended{sent->attempt, attempt_outcome::cancelled, true}, ctx());
        const auto error = find<answer_error>();
        REQUIRE(error);
        CHECK(error->kind == error_kind::deadline_exceeded_running);
    }

    SUBCASE("reports at its deadline that it may still be running")
    {
        now = request.deadline;
        last = flow.on_event(timer_expired{}, ctx());
        const auto error = find<answer_error>();
        REQUIRE(error);
        CHECK(error->kind == error_kind::deadline_exceeded_running);
    }
}

TEST_CASE_FIXTURE(flow_fixture, "a call that waits for a slot when a stop ends its work")
{
    auto flow = make_flow();
    last = flow.start(ctx());
    last = flow.on_event(limits_decided{true}, ctx());

    SUBCASE("is refused as not run")
    {
        flow_event event;
        SUBCASE("at the end of the admission")
        {
            event = admission_ended{};
        }
        SUBCASE("at the cut")
        {
            event = instance_stopping{};
        }
        last = flow.on_event(event, ctx());
        const auto error = find<answer_error>();
        REQUIRE(error);
        CHECK(error->kind == error_kind::stopping);
        CHECK(descriptor_of(error->kind).not_run);
        CHECK(flow.finished());
    }
}

TEST_CASE_FIXTURE(flow_fixture, "a process that was paused while it held a slot")
{
    request.idempotent = false;
    request.key = "pledge-1";
    auto flow = make_flow();
    run_to_slot(flow);
    const auto asked = find<claim_key>();
    REQUIRE(asked);

    SUBCASE("does not dispatch after the latest time of dispatch, even if it acquired the claim")
    {
        now += slot_lease_time;
        last = flow.on_event(claim_decided{asked->wanted.attempt, true, false, {}}, ctx());
        CHECK_FALSE(find<send_attempt>());
        CHECK(find<release_slot>());

        SUBCASE("and tries again under the same claim")
        {
            now += milliseconds{100};
            last = flow.on_event(timer_expired{}, ctx());
            grant_next(flow);
            CHECK(find<send_attempt>());
            CHECK_FALSE(find<claim_key>());
        }
    }

    SUBCASE("does not dispatch under an expired membership view")
    {
        view.emplace(2, now, std::vector<member>{});
        last = flow.on_event(claim_decided{asked->wanted.attempt, true, false, {}}, ctx());
        CHECK_FALSE(find<send_attempt>());
    }

    SUBCASE("does not dispatch to a failure domain that was taken out during the pause")
    {
        auto settings = std::make_shared<settings_snapshot>(routes->settings());
        settings->domains_out.insert(domain_id::of("ikeja-a"));
        routing_table changed{std::make_shared<endpoint_directory>(routes->endpoints().all()),
                              settings};
        const flow_context later{changed, *view, *strategy, retries, 42, now};
        last = flow.on_event(claim_decided{asked->wanted.attempt, true, false, {}}, later);
        CHECK_FALSE(find<send_attempt>());
    }
}

TEST_CASE_FIXTURE(flow_fixture, "a message for an earlier attempt")
{
    request.idempotent = true;
    auto flow = make_flow();
    run_to_slot(flow);
    const auto first = find<send_attempt>();
    REQUIRE(first);
    last = flow.on_event(attempt_ended{first->attempt, attempt_outcome::failed, true}, ctx());
    grant_next(flow);
    const auto second = find<send_attempt>();
    REQUIRE(second);
    CHECK(second->endpoint != first->endpoint);

    SUBCASE("is ignored and does not end the request if it is an answer")
    {
        attempt_ended late{first->attempt, attempt_outcome::succeeded};
        late.response_complete = true;
        last = flow.on_event(late, ctx());
        CHECK(last.empty());
        CHECK_FALSE(flow.finished());

        SUBCASE("while the answer of the current attempt ends it")
        {
            attempt_ended good{second->attempt, attempt_outcome::succeeded};
            good.response_complete = true;
            last = flow.on_event(good, ctx());
            CHECK(find<end_request>());
            CHECK(flow.finished());
        }
    }

    SUBCASE("is answered by a release if it grants a slot")
    {
        last = flow.on_event(slot_grant{first->attempt, first->endpoint, 1, 4}, ctx());
        const auto back = find<release_slot>();
        REQUIRE(back);
        CHECK(back->release.attempt == first->attempt);
    }
}

TEST_CASE_FIXTURE(flow_fixture, "an idempotent request whose endpoints fail")
{
    request.idempotent = true;
    auto flow = make_flow();
    run_to_slot(flow);
    retries.allowed = false;
    const auto sent = find<send_attempt>();
    REQUIRE(sent);
    last = flow.on_event(attempt_ended{sent->attempt, attempt_outcome::failed, true}, ctx());

    SUBCASE(
        "is not retried beyond the retry budget, and its error does not state that it did not run")
    {
        const auto error = find<answer_error>();
        REQUIRE(error);
        CHECK(error->kind == error_kind::endpoint_failed);
    }
}
