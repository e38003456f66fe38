// Test of an endpoint whose failure domain is put back into service. Without a ramp, all its chats
// return at once and overload it.
#include <doctest/doctest.h>

#include "mangovane/ledger/endpoint_ledger.hpp"

using namespace mangovane;

namespace
{

struct returning_endpoint
{
    returning_endpoint()
    {
        member self;
        self.id = holder;
        view.emplace(1, now + seconds{3600}, std::vector{self});
        policy.min_slots = 8;
        ledger = endpoint_ledger{endpoint, policy, now};
    }

    [[nodiscard]] ledger_context ctx() const { return {policy, *view, load, closed}; }

    /// Completes the rebuilding and the ramp.
    void warm_up()
    {
        (void)ledger.renew(holder, {endpoint, {}}, ctx(), now);
        for (std::uint64_t n = 1; n != 9; ++n)
        {
            (void)ledger.report({endpoint, 1, 0, true, false, now}, ctx(), now);
            slot_request msg;
            msg.attempt = attempt_id{holder, 1, n};
            msg.endpoint = endpoint;
            msg.purpose = slot_purpose::returning_chat;
            msg.wait_until = now;
            msg.deadline = now + seconds{30};
            (void)ledger.request(holder, msg, ctx(), now);
            now += policy.ramp_step;
            (void)ledger.release(holder, {msg.attempt, endpoint, attempt_outcome::succeeded, 0},
                                 ctx(), now);
        }
    }

    time_point now{seconds{1000}};
    instance_id holder{1};
    endpoint_id endpoint{7};
    service_policy policy;
    service_load load{0, 1};
    std::optional<slot_refusal_reason> closed;
    std::optional<membership_view> view;
    endpoint_ledger ledger{endpoint, policy, now};
};

} // namespace

TEST_CASE("an endpoint whose domain was taken out")
{
    returning_endpoint it;
    it.warm_up();
    REQUIRE_FALSE(it.ledger.status(it.ctx()).cold);

    SUBCASE("starts with a ramp when the domain is put back")
    {
        it.closed = slot_refusal_reason::drained;
        it.now += seconds{600};
        (void)it.ledger.tick(it.ctx(), it.now);
        CHECK(it.ledger.status(it.ctx()).allowed == 0);
        it.closed.reset();
        (void)it.ledger.tick(it.ctx(), it.now);
        CHECK(it.ledger.status(it.ctx()).cold);
        CHECK(it.ledger.status(it.ctx()).allowed == it.policy.ramp_start);
    }
}
