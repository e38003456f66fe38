// Implementation of the coordinator: messages, timers and membership views.
#include "mangovane/routing/coordinator.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "mangovane/routing/coordinator_parts.hpp"

namespace mangovane
{

coordinator::coordinator(coordinator_options options, message_sink& sink, time_point now)
    : options_{std::move(options)}, sink_{sink}, state_{options_.self, options_.timing,
                                                        options_.seed},
      slots_{state_}, chats_{state_, options_.chat_capacity}, limits_{state_}, shares_{state_},
      settings_sync_{state_}, strategy_{make_last_two_strategy()},
      retries_{std::make_unique<service_retry_budgets>()}
{
    apply_view(now);
}

coordinator::~coordinator() = default;

adopt_result coordinator::adopt_settings(settings_ptr settings, time_point now)
{
    const auto result = state_.adopt(std::move(settings));
    apply_view(now);
    return result;
}

void coordinator::on_platform_list(const std::vector<listed_instance>& instances,
                                   endpoints_ptr endpoints,
                                   time_point now)
{
    state_.members().on_platform_list(instances, now);
    state_.set_endpoints(std::move(endpoints));
    apply_view(now);
}

void coordinator::on_platform_read(time_point now)
{
    open_fence_if_current();
    apply_view(now);
}

void coordinator::on_endpoint_report(const endpoint_report& report, time_point now)
{
    const auto warmth = report.warm ? endpoint_poll_state::available : endpoint_poll_state::cold;
    shares_.on_poll(report.endpoint, report.leaving ? endpoint_poll_state::unavailable : warmth,
                    now);
    send(slots_.on_report(report, now), now);
}

void coordinator::on_endpoint_poll(endpoint_id endpoint, bool answered, time_point now)
{
    // Without a report the endpoint counts as warm: plain services send no reports.
    shares_.on_poll(endpoint,
                    answered ? endpoint_poll_state::available : endpoint_poll_state::unavailable,
                    now);
    slots_.on_poll(endpoint, answered);
}

std::vector<endpoint_id> coordinator::endpoints_to_poll(time_point now)
{
    auto result = slots_.owned();
    const auto pending_polls = shares_.pending_polls(now);
    result.insert(result.end(), pending_polls.begin(), pending_polls.end());
    return result;
}

template <class Message>
void coordinator::handle(instance_id from, const Message& msg, time_point now)
{
    using type = Message;
    if constexpr (internal::is_any_of<type, slot_request, slot_release, slot_renewal, load_query,
                                      service_load_report, load_total>)
    {
        send(slots_.on(from, msg, now), now);
    }
    else if constexpr (internal::is_any_of<type, chat_query, chat_update>)
    {
        send(chats_.on(from, msg, now), now);
    }
    else if constexpr (internal::is_any_of<type, limit_request>)
    {
        send(limits_.on(from, msg, now), now);
    }
    else if constexpr (internal::is_any_of<type, limit_grant>)
    {
        send(limits_.on(from, msg, now), now);
        recheck_limits(now);
    }
    else if constexpr (internal::is_any_of<type, probe>)
    {
        send(state_.members().on_probe(from, msg, now), now);
    }
    else if constexpr (internal::is_any_of<type, probe_ack>)
    {
        send(state_.members().on_probe_ack(from, msg, now), now);
        state_.settings().observe_version(msg.settings);
        open_fence_if_current();
    }
    else if constexpr (internal::is_any_of<type, probe_request>)
    {
        send(state_.members().on_probe_request(from, msg, now), now);
    }
    else if constexpr (internal::is_any_of<type, settings_query>)
    {
        send(settings_sync_.on(from, msg), now);
    }
    else if constexpr (internal::is_any_of<type, settings_content>)
    {
        settings_sync_.on(from, msg);
        open_fence_if_current();
        apply_view(now);
    }
    else if constexpr (internal::is_any_of<type, load_digest, feed_state, endpoint_query,
                                           endpoint_update, quarantine_update, rollout_report,
                                           usage_report>)
    {
        // Sent by instances that forward without slots. Here the owner of an endpoint grants its
        // slots, and each instance reads the platform itself.
    }
    else if constexpr (internal::is_any_of<type, chat_answer, load_answer>)
    {
        on_event(msg.ticket >> request_flow::sequence_bits, msg, now);
    }
    else
    {
        pass_to_flow(from, msg, now);
    }
}

template <class Message>
void coordinator::dispatch(instance_id from, const message& msg, time_point now)
{
    handle(from, std::get<Message>(msg), now);
}

template <class... Messages>
constexpr auto coordinator::make_table(const std::variant<Messages...>*)
{
    return std::array<handler, sizeof...(Messages)>{&coordinator::dispatch<Messages>...};
}

void coordinator::on_message(instance_id from, const message& msg, time_point now)
{
    static constexpr auto table = make_table(static_cast<const message*>(nullptr));
    (this->*table[msg.index()])(from, msg, now);
}

void coordinator::open_fence_if_current()
{
    // Only an answer to a request shows the current state of the other side: other messages may
    // have been buffered while this process was paused.
    if (state_.settings().is_current())
    {
        state_.fence().on_remote_answer();
    }
}

void coordinator::pass_to_flow(instance_id from, const slot_grant& msg, time_point now)
{
    const bool own =
        msg.attempt.origin == options_.self.id && msg.attempt.epoch == options_.self.epoch;
    const auto number = msg.attempt.sequence >> request_flow::sequence_bits;
    if (!own || !on_event(number, msg, now))
    {
        // The request has ended, or belonged to an earlier process of this instance.
        ++counters_.stale_grants;
        send({from, slot_release{msg.attempt, msg.endpoint, attempt_outcome::cancelled, 0}}, now);
    }
}

void coordinator::pass_to_flow(instance_id, const slot_refusal& msg, time_point now)
{
    if (msg.attempt.origin == options_.self.id && msg.attempt.epoch == options_.self.epoch)
    {
        on_event(msg.attempt.sequence >> request_flow::sequence_bits, msg, now);
    }
}

void coordinator::send(const outgoing_messages& list, time_point now)
{
    for (const auto& it : list)
    {
        send(it, now);
    }
}

void coordinator::send(const outgoing_message& msg, time_point now)
{
    if (msg.to == options_.self.id)
    {
        on_message(options_.self.id, msg.body, now);
        return;
    }
    sink_.send(msg);
}

void coordinator::tick(time_point now)
{
    state_.fence().on_tick(now);
    send(state_.members().tick(now), now);
    apply_view(now);
    send(slots_.tick(now), now);
    send(limits_.tick(now), now);
    send(settings_sync_.tick(now), now);
    renew_slots(now);
    recheck_limits(now);
}

void coordinator::leave(time_point now)
{
    send(state_.members().leave(now), now);
    send(slots_.give_up_all(), now);
}

void coordinator::apply_view(time_point now)
{
    view_ptr before;
    const auto view = state_.view();
    const auto routes = state_.routes();
    {
        const std::lock_guard lock{mutex_};
        if (applied_view_ && applied_view_->version() == view->version() &&
            applied_routes_ == routes)
        {
            return;
        }
        before = std::exchange(applied_view_, view);
        applied_routes_ = routes;
    }
    send(slots_.update_ownership(now), now);
    if (!before || before->version() != view->version())
    {
        state_.record_view_change(now);
    }
    if (before)
    {
        on_view_change(*before, *view, now);
    }
}

void coordinator::on_view_change(const membership_view& before,
                                 const membership_view& after,
                                 time_point now)
{
    // A new owner waits for the slot list of every holder before it grants the whole bound, so
    // empty lists are sent as well.
    const auto held = flows_.held_slots();
    const auto routes = state_.routes();
    for (const auto& info : routes->endpoints().all())
    {
        const auto owner = after.endpoint_owner(info.id, info.domain);
        if (!owner || owner == before.endpoint_owner(info.id, info.domain))
        {
            continue;
        }
        const auto it = held.find(info.id);
        send({*owner,
              slot_renewal{info.id, it == held.end() ? std::vector<held_slot>{} : it->second}},
             now);
    }
}

void coordinator::renew_slots(time_point now)
{
    {
        const std::lock_guard lock{mutex_};
        if (now < renewed_at_ + renewal_period)
        {
            return;
        }
        renewed_at_ = now;
    }
    const auto routes = state_.routes();
    for (auto& [endpoint, slots] : flows_.held_slots())
    {
        const auto* info = routes->find(endpoint);
        const auto owner = info == nullptr ? std::nullopt : state_.owner_of(*info);
        if (owner)
        {
            send({*owner, slot_renewal{endpoint, std::move(slots)}}, now);
        }
    }
}

} // namespace mangovane
