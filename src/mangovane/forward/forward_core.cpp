// Implementation of the forward core.
#include "mangovane/forward/forward_core.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace mangovane
{

forward_core::forward_core(forward_options options,
                           message_sink& sink,
                           settings_parser parser,
                           time_point now)
    : options_{std::move(options)}, sink_{sink}, state_{options_.self, options_.timing,
                                                        options_.seed},
      settings_sync_{state_, std::move(parser), settings_query_interval}, feed_{state_, catalog_,
                                                                                now},
      departures_{options_.endpoint_drain}, retries_{options_.fleet.retries}, fleet_size_{now},
      quarantine_{options_.seed}, rollouts_{options_.rollouts}, admission_{options_.admission,
                                                                           options_.seed}
{}

adopt_result forward_core::adopt_settings(settings_ptr settings, time_point now)
{
    const auto before = state_.settings().current();
    const auto result = state_.adopt(settings);
    if (result == adopt_result::adopted && before)
    {
        start_cold_periods(*before, *settings, now);
    }
    if (result == adopt_result::adopted)
    {
        refresh_rollouts(now);
    }
    return result;
}

void forward_core::start_cold_periods(const settings_snapshot& before,
                                      const settings_snapshot& after,
                                      time_point now)
{
    milliseconds cold_time{0};
    for (const auto& [id, it] : after.services)
    {
        cold_time = std::max(cold_time, it.cold_time);
    }
    const std::lock_guard lock{mutex_};
    for (const auto domain : before.domains_out)
    {
        if (!after.domains_out.contains(domain))
        {
            cold_domains_[domain] = now + cold_time;
        }
    }
}

void forward_core::refresh(time_point now)
{
    apply_endpoints(now);
    send(feed_.tick(now));
}

void forward_core::apply_endpoints(time_point now)
{
    // One lock for both steps: of two threads, the one with the older list could set it last.
    const std::lock_guard lock{endpoints_mutex_};
    if (auto endpoints = catalog_.take_changed(now))
    {
        departures_.on_list(state_.routes()->endpoints(), *endpoints, now);
        state_.set_endpoints(std::move(endpoints));
        refresh_rollouts(now);
    }
}

void forward_core::on_instance_list(const std::vector<listed_instance>& instances, time_point now)
{
    state_.members().on_platform_list(instances, now);
}

template <class Message>
void forward_core::dispatch(instance_id from, const message& msg, time_point now)
{
    const auto& it = std::get<Message>(msg);
    if constexpr (std::is_same_v<Message, probe>)
    {
        send(state_.members().on_probe(from, it, now));
    }
    else if constexpr (std::is_same_v<Message, probe_ack>)
    {
        send(state_.members().on_probe_ack(from, it, now));
    }
    else if constexpr (std::is_same_v<Message, probe_request>)
    {
        send(state_.members().on_probe_request(from, it, now));
    }
    else if constexpr (std::is_same_v<Message, settings_query>)
    {
        send(settings_sync_.on(from, it));
    }
    else if constexpr (std::is_same_v<Message, settings_content>)
    {
        const auto before = state_.settings().current();
        settings_sync_.on(from, it);
        if (before)
        {
            start_cold_periods(*before, *state_.settings().current(), now);
        }
        refresh_rollouts(now);
    }
    else if constexpr (std::is_same_v<Message, load_digest>)
    {
        tracker_.on_digest(from, it, now);
        const auto members = view();
        if (const auto* sender = members->find(from))
        {
            domains_.on_message(sender->domain, now);
        }
    }
    else if constexpr (std::is_same_v<Message, endpoint_update>)
    {
        send(feed_.on(from, it, now));
        refresh(now);
    }
    else if constexpr (std::is_same_v<Message, feed_state> ||
                       std::is_same_v<Message, endpoint_query>)
    {
        send(feed_.on(from, it, now));
    }
    else if constexpr (std::is_same_v<Message, quarantine_update>)
    {
        auto response = quarantine_.on_update(it, now);
        if (!response.empty())
        {
            sink_.send({from, std::move(response)});
        }
    }
    else if constexpr (std::is_same_v<Message, rollout_report>)
    {
        rollouts_.on_report(from, it, now);
    }
    else if constexpr (std::is_same_v<Message, usage_report>)
    {
        on_usage(it, now);
    }
    // Instances that forward by routes ignore all other messages.
}

template <class... Messages>
constexpr auto forward_core::make_handler_table(const std::variant<Messages...>*)
{
    return std::array<handler, sizeof...(Messages)>{&forward_core::dispatch<Messages>...};
}

void forward_core::on_message(instance_id from, const message& msg, time_point now)
{
    static constexpr auto table = make_handler_table(static_cast<const message*>(nullptr));
    (this->*table[msg.index()])(from, msg, now);
}

void forward_core::send(const outgoing_messages& list)
{
    for (const auto& it : list)
    {
        sink_.send(it);
    }
}

void forward_core::send(const group_messages& list)
{
    for (const auto& it : list)
    {
        sink_.send_to_group(it);
    }
}

void forward_core::tick(time_point now)
{
    send(state_.members().tick(now));
    send(settings_sync_.tick(now));
    refresh(now);
    fleet_size_.record(static_cast<std::uint32_t>(view()->members().size()), now);
    if (admission_.enabled())
    {
        live_instances_.record(count_live(), has_lost_member(), now);
    }
    send_digest(now);
    send_quarantine(now);
    send_usage(now);
    tick_rollouts(now);
    {
        const std::lock_guard lock{mutex_};
        if (now < expired_at_ + expire_period)
        {
            return;
        }
        expired_at_ = now;
    }
    tracker_.expire(now);
    departures_.expire(now);
}

duration forward_core::digest_period_for(bool same_domain) const
{
    const auto members = view()->members().size();
    const auto factor =
        same_domain ? 1.0 : std::max(1.0, static_cast<double>(members) / full_rate_fleet_size);
    return std::chrono::duration_cast<duration>(digest_period * factor);
}

bool forward_core::take_digest_due(bool same_domain, const load_digest& digest, time_point now)
{
    const auto period = digest_period_for(same_domain);
    const auto renewal = std::max<duration>(digest_refresh_period, period);
    const std::lock_guard lock{mutex_};
    auto& last = same_domain ? local_digest_ : remote_digest_;
    const bool due = now >= last.at + (digest == last.content ? renewal : period);
    if (due)
    {
        last = {digest, now};
    }
    return due;
}

void forward_core::send_digest(time_point now)
{
    const auto routes = state_.routes();
    const auto states_tokens = [&](endpoint_id it)
    {
        const auto* endpoint = routes->find(it);
        return endpoint != nullptr && token_capacity(*routes, endpoint->service) != 0;
    };
    const auto digest = tracker_.digest(now, states_tokens);
    const bool local_due = take_digest_due(true, digest, now);
    const bool remote_due = take_digest_due(false, digest, now);
    if (!local_due && !remote_due)
    {
        return;
    }
    const auto members = view();
    group_message msg{{}, digest};
    for (const auto* it : live_peers(*members))
    {
        const bool own_domain = it->domain == options_.self.domain;
        if (own_domain ? local_due : remote_due)
        {
            msg.to.push_back(it->id);
        }
    }
    sink_.send_to_group(msg);
}

std::vector<const member*> forward_core::live_peers(const membership_view& members) const
{
    std::vector<const member*> result;
    for (const auto& it : members.members())
    {
        const bool live = it.state == member_state::alive || it.state == member_state::suspect;
        if (live && it.id != options_.self.id)
        {
            result.push_back(&it);
        }
    }
    return result;
}

void forward_core::send_quarantine(time_point now)
{
    const auto members = view();
    const auto news = quarantine_.take_news(now);
    if (!news.empty())
    {
        group_message msg{{}, news};
        for (const auto* it : live_peers(*members))
        {
            msg.to.push_back(it->id);
        }
        sink_.send_to_group(msg);
    }
    std::uint64_t count = 0;
    {
        const std::lock_guard lock{mutex_};
        if (now < summary_sent_at_ + quarantine_summary_period)
        {
            return;
        }
        summary_sent_at_ = now;
        count = ++summary_count_;
    }
    const auto summary = quarantine_.summary(now);
    const auto peers = summary.empty() ? std::vector<const member*>{} : live_peers(*members);
    for (std::size_t n = 0; n != std::min(quarantine_summary_fanout, peers.size()); ++n)
    {
        const auto choice = hash_combine(hash_combine(options_.seed, count), n);
        sink_.send({peers[choice % peers.size()]->id, summary});
    }
}

void forward_core::refresh_rollouts(time_point now)
{
    if (!rollouts_.enabled())
    {
        return;
    }
    // One lock for reading and setting: of two threads, the one with older settings could set its
    // orders last and so end a rollout.
    const std::lock_guard lock{rollouts_mutex_};
    const auto routes = state_.routes();
    absl::flat_hash_map<service_id, version_counts> listed;
    for (const auto& it : routes->endpoints().all())
    {
        ++listed[it.service][it.version];
    }
    for (const auto& [service, counts] : listed)
    {
        rollouts_.observe(service, counts, now);
    }
    rollouts_.set_orders(routes->settings().rollouts, now);
}

rollout_surroundings forward_core::surroundings_of(const rollout_order& order, time_point now)
{
    rollout_surroundings result;
    const auto routes = state_.routes();
    for (const auto* it : routes->endpoints().of_service(order.service))
    {
        const bool usable =
            !routes->closed(it->id) && !tracker_.snapshot_of(it->id, it->epoch, now).leaving;
        auto& count =
            it->version == order.version ? result.ordered_endpoints : result.current_endpoints;
        count += usable ? 1 : 0;
    }
    const auto members = view();
    for (const auto* it : live_peers(*members))
    {
        result.live_peers.push_back(it->id);
    }
    return result;
}

void forward_core::tick_rollouts(time_point now)
{
    for (const auto& order : rollouts_.running())
    {
        rollouts_.tick(order.service, surroundings_of(order, now), now);
    }
    const auto local = rollouts_.take_due_reports(true, now);
    const auto remote = rollouts_.take_due_reports(false, now);
    if (local.empty() && remote.empty())
    {
        return;
    }
    const auto members = view();
    for (const auto* it : live_peers(*members))
    {
        for (const auto& report : it->domain == options_.self.domain ? local : remote)
        {
            sink_.send({it->id, report});
        }
    }
}

void forward_core::on_version_ended(const version_attempt& attempt,
                                    const std::optional<version_response>& response,
                                    time_point now)
{
    if (!rollouts_.enabled())
    {
        return;
    }
    rollouts_.on_ended(attempt);
    if (!response)
    {
        return;
    }
    const auto routes = state_.routes();
    const auto* endpoint = routes->find(attempt.endpoint);
    const bool cold = endpoint != nullptr && is_cold(*endpoint, now);
    // Late responses during the warm-up are no evidence, but failures are: otherwise a version that
    // fails from its start would go unnoticed until it is warm.
    rollouts_.on_response(attempt,
                          cold ? version_response{response->failed, milliseconds{0}} : *response);
}

void forward_core::leave(time_point now)
{
    send(state_.members().leave(now));
}

void forward_core::on_accepted(const forward_request& request)
{
    retries_.on_request(request.service, request.accepted_at);
}

bool forward_core::try_retry(service_id service, time_point now)
{
    return retries_.try_retry(service, fleet_size_.value(), now);
}

void forward_core::on_notice(const dispatch_target& target,
                             const endpoint_notice& notice,
                             time_point now)
{
    auto used = notice;
    if (!policy_of(options_.fleet.placement).uses_speed)
    {
        // No choice uses the statement, and passing its speed on would add to the traffic of
        // digests. Admission needs the slots.
        used.load = admission_.enabled() ? used.load : std::nullopt;
        if (used.load)
        {
            used.load->work_percent = 0;
        }
    }
    tracker_.on_notice(target.endpoint, target.epoch, used, now);
    if (notice.leaving)
    {
        departures_.on_stated(target.endpoint, target.epoch, now);
    }
}

void forward_core::on_survived(const forward_request& request, time_point now)
{
    quarantine_.on_survived(request.identity(), now);
}

bool forward_core::on_crash(const forward_request& request,
                            endpoint_id endpoint,
                            incarnation epoch,
                            time_point now)
{
    const auto crash = hash_combine(endpoint.value(), epoch);
    return quarantine_.on_crash(crash, request.identity(), now);
}

void forward_core::on_tokens_released(endpoint_id endpoint, const token_counts& tokens)
{
    if (policy_of(options_.fleet.placement).counts_tokens && tokens.held() != 0)
    {
        tracker_.on_tokens_released(endpoint, tokens.held());
    }
}

void forward_core::finish(endpoint_id endpoint, health_outcome outcome, time_point now)
{
    tracker_.on_finished(endpoint, outcome, now);
    const auto routes = state_.routes();
    const auto* info = routes->find(endpoint);
    if (info == nullptr || outcome == health_outcome::cancelled)
    {
        return;
    }
    if (outcome == health_outcome::unreachable)
    {
        domains_.on_unreachable(info->domain, endpoint, now);
    }
    else if (outcome != health_outcome::failed && outcome != health_outcome::crashed)
    {
        domains_.on_response(info->domain);
    }
}

} // namespace mangovane
