// Fixture with one endpoint, its ledger, two holders and a clock.
#ifndef MANGOVANE_TEST_LEDGER_LEDGER_FIXTURE_HPP
#define MANGOVANE_TEST_LEDGER_LEDGER_FIXTURE_HPP

#include <optional>
#include <utility>
#include <variant>

#include "mangovane/ledger/endpoint_ledger.hpp"

namespace mangovane
{

struct ledger_fixture
{
    ledger_fixture()
    {
        policy.min_slots = 4;
        policy.ramp_start = 64;
        ledger = endpoint_ledger{endpoint, policy, now};
        std::vector<member> members(2);
        members[0].id = one;
        members[1].id = two;
        view.emplace(1, now + seconds{3600}, members);
    }

    [[nodiscard]] ledger_context ctx() const { return {policy, *view, load, closed}; }

    /// Ends rebuilding: both instances renew without slots.
    void complete_rebuilding()
    {
        renew(one, {});
        renew(two, {});
    }

    void renew(instance_id holder, std::vector<held_slot> slots)
    {
        last = ledger.renew(holder, {endpoint, std::move(slots)}, ctx(), now);
    }

    void advance(milliseconds step)
    {
        now += step;
        last = ledger.tick(ctx(), now);
    }

    slot_request make(milliseconds wait = milliseconds{0}, std::uint64_t account = 1)
    {
        slot_request result;
        result.attempt = attempt_id{one, 1, ++sequence};
        result.endpoint = endpoint;
        result.account = account_id{account};
        result.purpose = slot_purpose::returning_chat;
        result.wait_until = now + wait;
        result.deadline = now + seconds{30};
        return result;
    }

    /// Requests a slot; returns the attempt when it was granted immediately.
    std::optional<attempt_id> ask(const slot_request& msg)
    {
        last = ledger.request(one, msg, ctx(), now);
        return granted(msg.attempt) ? std::optional{msg.attempt} : std::nullopt;
    }

    void release(const attempt_id& attempt, attempt_outcome outcome = attempt_outcome::succeeded)
    {
        last = ledger.release(one, {attempt, endpoint, outcome, 0}, ctx(), now);
    }

    void report(std::uint32_t in_flight, bool warm = true, incarnation epoch = 1)
    {
        last = ledger.report({endpoint, epoch, in_flight, warm, false, now}, ctx(), now);
    }

    [[nodiscard]] bool granted(const attempt_id& attempt) const
    {
        for (const auto& it : last)
        {
            const auto* found = std::get_if<slot_grant>(&it.body);
            if (found != nullptr && found->attempt == attempt)
            {
                return true;
            }
        }
        return false;
    }

    /// Reason of the last refusal.
    [[nodiscard]] std::optional<slot_refusal_reason> refused() const
    {
        const auto* found = last.empty() ? nullptr : std::get_if<slot_refusal>(&last.back().body);
        return found != nullptr ? std::optional{found->reason} : std::nullopt;
    }

    [[nodiscard]] ledger_status status() const { return ledger.status(ctx()); }

    time_point now{seconds{1000}};
    instance_id one{1};
    instance_id two{2};
    endpoint_id endpoint{7};
    service_policy policy;
    service_load load{0, 1};
    std::optional<slot_refusal_reason> closed;
    std::optional<membership_view> view;
    endpoint_ledger ledger{endpoint, policy, now};
    std::uint64_t sequence{0};
    std::vector<outgoing_message> last;
};

} // namespace mangovane

#endif
