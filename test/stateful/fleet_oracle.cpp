// The oracle: the guarantees that are checked after every step of the fake fleet.
#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

#include "fleet.hpp"

namespace mangovane::test
{

namespace
{

/// Maximum age of the load that an owner uses: two load report periods, and the transit of the
/// report to the owner of the load summary and of the mean back.
constexpr milliseconds load_report_delay{3000};
/// Membership views converge within this time after a disruption: probe, suspicion, dissemination,
/// and one slot lease, in which a new owner rebuilds its slot records.
constexpr milliseconds convergence_time{9000};
/// No new work after this time since a domain was taken out or an endpoint began to leave.
constexpr milliseconds drain_time{3000};
/// An owner detects a cold endpoint at its next poll or when requests end.
constexpr milliseconds cold_detection_time{1200};
/// A call gets its response within this time after its deadline.
constexpr milliseconds response_slack{2000};

} // namespace

void fleet::check_run_started(const fake_engine& engine, const fleet_node& node, std::uint64_t id)
{
    auto& call = calls_[id];
    ++call.runs;
    if (!call.idempotent)
    {
        const auto n = call.key.empty() ? call.runs : ++runs_of_key_[call.key];
        if (n > 1)
        {
            record_violation(
                absl::StrCat("call ", id, " with key '", call.key, "' ran ", n, " times"));
        }
    }
    if (call.end == call_outcome::rejected && descriptor_of(call.kind).not_run)
    {
        record_violation(absl::StrCat("call ", id, " ran after it was reported as 'not run'"));
    }
    if (engine.leaving && now_ > engine.left_at + drain_time)
    {
        record_violation(absl::StrCat("new work at leaving ", engine.info.name, " from ", node.name,
                                      " local slots ", node.core->counters().local_slots, " left ",
                                      (now_ - engine.left_at) / milliseconds{1}, " ms ago, ",
                                      describe_owners(engine)));
    }
    const auto out = domains_out_.find(engine.domain);
    if (out != domains_out_.end() &&
        now_ > std::max(out->second, settings_reachable_since_[node.domain]) + drain_time)
    {
        record_violation(absl::StrCat("new work in domain ", engine.domain,
                                      " that was taken out, from ", node.name));
    }
}

void fleet::update_settings_reachability()
{
    // The instances of a domain get the newest settings from the platform or from a reachable
    // instance that has them. Without either they keep their last settings.
    for (const auto& domain : options_.domains)
    {
        const bool platform = !rows_.down && !platform_partitions_.contains(domain);
        const bool peer = std::any_of(nodes_.begin(), nodes_.end(),
                                      [&](const auto& it)
                                      {
                                          const auto current = it->core->settings().current();
                                          return it->alive && !it->paused &&
                                                 is_connected(it->domain, domain) && current &&
                                                 current->stamp == current_settings_->stamp;
                                      });
        if (!platform && !peer)
        {
            settings_reachable_since_[domain] = now_;
        }
    }
}

std::map<std::uint64_t, owned_endpoint_status> fleet::owner_records()
{
    std::map<std::uint64_t, owned_endpoint_status> result;
    for (auto& node : nodes_)
    {
        if (!node->alive || node->paused)
        {
            continue;
        }
        for (const auto& it : node->core->slots().status(now_))
        {
            result.emplace(it.endpoint.value(), it);
        }
    }
    return result;
}

std::uint32_t fleet::bound_of(const fake_engine& engine) const
{
    // An owner has the exact load of its own endpoint and delayed loads of the others.
    const service_policy policy;
    std::uint32_t result = 0;
    for (const auto& sample : samples_)
    {
        const auto it = sample.loads.find({engine.info.service.value(), engine.domain});
        const auto own = sample.slots.find(engine.info.id.value());
        if (it != sample.loads.end() && own != sample.slots.end())
        {
            auto load = it->second;
            load.total_in_flight += engine.in_flight() - own->second;
            result = std::max(result, load_bound_slots(policy, load));
        }
    }
    if (now_ < disrupted_at_ + convergence_time || !partitions_.empty())
    {
        // The former and the new owner may both grant slots.
        result = static_cast<std::uint32_t>(std::ceil(1.25 * result)) + 1;
    }
    return result;
}

std::string fleet::describe_owners(const fake_engine& engine)
{
    std::string out;
    for (auto& node : nodes_)
    {
        if (!node->alive || node->paused)
        {
            continue;
        }
        const auto load = node->core->slots().load_of(engine.info.service, now_);
        for (const auto& it : node->core->slots().status(now_))
        {
            if (it.endpoint == engine.info.id)
            {
                absl::StrAppend(&out, "owner ", node->name, ": in flight ", it.ledger.in_flight,
                                ", allowed ", it.ledger.allowed, ", orphaned ", it.ledger.orphaned,
                                ", rebuilding ", it.ledger.rebuilding, ", service load ",
                                load.total_in_flight, "/", load.ready_endpoints, "; ");
            }
        }
    }
    return out;
}

void fleet::check_loads()
{
    update_settings_reachability();
    // Endpoints that their owners have closed accept no new work and are not counted in the mean.
    // Slots are counted from grant to release, a little longer than the request is at the engine.
    const auto records = owner_records();
    load_sample sample{now_, {}};
    for (const auto& domain : options_.domains)
    {
        for (const auto& it : engines_)
        {
            if (!is_connected(domain, it.domain))
            {
                continue;
            }
            const auto record = records.find(it.info.id.value());
            const bool known = record != records.end();
            const auto slots = known ? record->second.ledger.in_flight : 0U;
            const bool closed = known && record->second.closed &&
                                *record->second.closed != slot_refusal_reason::rebuilding;
            auto& load = sample.loads[{it.info.service.value(), domain}];
            load.total_in_flight += std::max(it.in_flight(), slots);
            sample.slots[it.info.id.value()] = std::max(it.in_flight(), slots);
            const bool ready = it.up && !it.leaving && !domains_out_.contains(it.domain) && !closed;
            load.ready_endpoints += ready ? 1U : 0U;
        }
    }
    samples_.push_back(std::move(sample));
    while (samples_.front().at + load_report_delay < now_)
    {
        samples_.pop_front();
    }
    for (const auto& it : engines_)
    {
        const auto bound = bound_of(it);
        if (it.in_flight() > bound)
        {
            record_violation(absl::StrCat(it.info.name, " has in flight ", it.in_flight(),
                                          ", bound ", bound, ", ", describe_owners(it)));
        }
        check_ramp(it);
    }
}

void fleet::check_ramp(const fake_engine& engine)
{
    const service_policy policy;
    const auto known_since = engine.cold_since + cold_detection_time;
    // Requests that were admitted before the detection end within a second.
    if (now_ < known_since + seconds{1} || now_ > engine.cold_since + seconds{10} ||
        !partitions_.empty())
    {
        return;
    }
    const auto steps = (now_ - engine.cold_since) / policy.ramp_step;
    const auto allowed = policy.ramp_start << static_cast<unsigned>(steps);
    if (engine.in_flight() > allowed)
    {
        record_violation(absl::StrCat("cold ", engine.info.name, " has in flight ",
                                      engine.in_flight(), ", ramp ", allowed, ", ",
                                      describe_owners(engine)));
    }
}

void fleet::check_calls()
{
    for (std::size_t n = first_open_call_; n != calls_.size(); ++n)
    {
        const auto& call = calls_[n];
        const auto& node = *nodes_[call.node];
        if (call.end != call_outcome::pending)
        {
            first_open_call_ += n == first_open_call_ ? 1U : 0U;
            continue;
        }
        const auto late = std::max(call.deadline, node.resumed_at) + response_slack;
        if (node.alive && !node.paused && now_ > late)
        {
            record_violation(absl::StrCat("call ", n, " got no response"));
            calls_[n].end = call_outcome::aborted;
        }
    }
}

void fleet::check_call_outcome(const fleet_call& call)
{
    if (call.end == call_outcome::rejected && descriptor_of(call.kind).not_run && call.runs != 0)
    {
        record_violation(absl::StrCat("call ", call.id, " was reported as 'not run' (",
                                      descriptor_of(call.kind).name.data(), ") but had run"));
    }
    if (call.end == call_outcome::responded && call.response_of != call.id)
    {
        record_violation(
            absl::StrCat("call ", call.id, " got the response of call ", call.response_of));
    }
    if (call.end == call_outcome::responded_from_claim && calls_[call.response_of].key != call.key)
    {
        record_violation(absl::StrCat("call ", call.id, " got the stored response of another key"));
    }
    if (call.end == call_outcome::aborted && nodes_[call.node]->leaving)
    {
        record_violation(absl::StrCat("call ", call.id, " was aborted by a graceful shutdown"));
    }
}

void fleet::check_settings()
{
    for (auto& it : nodes_)
    {
        if (!it->alive)
        {
            continue;
        }
        const auto current = it->core->settings().current();
        const auto version = current ? current->stamp.version.number : 0;
        if (version < it->settings_version)
        {
            record_violation(absl::StrCat(it->name, " returned to settings version ", version));
        }
        it->settings_version = std::max(it->settings_version, version);
    }
}

} // namespace mangovane::test
