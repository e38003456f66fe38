// Implementation of the admission gate.
#include "mangovane/admission/admission_gate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangovane
{

admission_room
admission_gate::usable_room(service_entry& entry, const service_room& room, time_point now)
{
    entry.waited_at = entry.queue.waiting() != 0 ? std::optional{now} : entry.waited_at;
    const bool lasts = has_room(room) && entry.queue.waiting() != 0;
    entry.room_since = lasts ? std::optional{entry.room_since.value_or(now)} : std::nullopt;
    const std::chrono::duration<double> since = now - entry.room_since.value_or(now);
    const std::chrono::duration<double> doubling = room_doubling_time;
    // An instance that hears from no other does not see that the room is taken.
    const double factor = room.hears_no_other ? 1 : std::exp2(std::max(0.0, since / doubling));
    const auto usable = room.slots * max_utilization;
    return {usable, usable - room.in_flight, room.capacity_per_s(),
            std::min(1.0, room.share() * factor)};
}

admission_answer admission_gate::ask(service_id service,
                                     const admission_request& request,
                                     const service_room& known,
                                     time_point now)
{
    const auto room = known.assumed();
    admission_answer answer{{}, request.ticket, 0, room.free(), room.age};
    if (would_send(service, known))
    {
        return answer;
    }
    services_.with_entry(
        service,
        [&](service_entry& it)
        {
            const auto usable = usable_room(it, room, now);
            answer.decision = it.queue.admit(request, usable, now);
            it.waited_at = it.queue.waiting() != 0 ? std::optional{now} : it.waited_at;
            answer.place = static_cast<std::uint32_t>(it.queue.waiting());
        },
        policy_, seed_, now);
    if (answer.decision.verdict == admission_verdict::wait)
    {
        statistics_.on_wait();
    }
    else if (answer.decision.verdict == admission_verdict::refuse)
    {
        statistics_.on_refusal(answer.decision.reason);
    }
    return answer;
}

bool admission_gate::would_send(service_id service, const service_room& room)
{
    bool idle = true;
    services_.find(service, [&](const service_entry& it) { idle = it.queue.idle(); });
    return idle && has_room(room.assumed());
}

std::vector<service_id> admission_gate::services_waiting()
{
    std::vector<service_id> result;
    services_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [service, it] : entries)
            {
                if (!it.queue.idle())
                {
                    result.push_back(service);
                }
            }
        });
    return result;
}

std::vector<admission_outcome>
admission_gate::release(service_id service, const service_room& known, time_point now)
{
    const auto room = known.assumed();
    std::vector<admission_outcome> result;
    services_.find(service,
                   [&](service_entry& it)
                   {
                       result = known.known() ? it.queue.release(usable_room(it, room, now), now)
                                              : it.queue.release_all();
                   });
    for (const auto& it : result)
    {
        if (it.decision.verdict == admission_verdict::refuse)
        {
            statistics_.on_refusal(it.decision.reason);
        }
    }
    return result;
}

void admission_gate::remove(service_id service, std::uint64_t ticket)
{
    services_.find(service, [&](service_entry& it) { it.queue.remove(ticket); });
}

admission_decision admission_gate::expire(service_id service,
                                          std::uint64_t ticket,
                                          const service_room& known,
                                          time_point now)
{
    const auto room = known.assumed();
    std::optional<admission_decision> result;
    services_.find(service, [&](service_entry& it)
                   { result = it.queue.expire(ticket, usable_room(it, room, now), now); });
    if (result)
    {
        statistics_.on_refusal(result->reason);
    }
    // Otherwise its outcome has been decided and counted, and comes too late.
    return result.value_or(admission_decision{admission_verdict::refuse, admission_reason::too_late,
                                              now + admission_queue::min_retry_delay});
}

std::size_t admission_gate::waiting(service_id service)
{
    std::size_t result = 0;
    services_.find(service, [&](const service_entry& it) { result = it.queue.waiting(); });
    return result;
}

std::vector<usage_report> admission_gate::take_usage(bool same_domain, time_point now)
{
    std::vector<usage_report> result;
    services_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [service, it] : entries)
            {
                if (!it.waited_at || now > *it.waited_at + usage_report_time)
                {
                    continue;
                }
                auto accounts = it.queue.usage().take_unreported(same_domain, now);
                if (!accounts.empty())
                {
                    result.push_back({service, std::move(accounts)});
                }
            }
        });
    return result;
}

void admission_gate::on_usage(const usage_report& report, time_point now)
{
    services_.with_entry(
        report.service, [&](service_entry& it) { it.queue.usage().charge(report, now); }, policy_,
        seed_, now);
}

std::size_t admission_gate::waiting()
{
    std::size_t result = 0;
    services_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [service, it] : entries)
            {
                result += it.queue.waiting();
            }
        });
    return result;
}

} // namespace mangovane
