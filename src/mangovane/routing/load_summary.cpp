// Implementation of the load summary.
#include "mangovane/routing/load_summary.hpp"

#include <algorithm>

namespace mangovane
{

load_total load_summary::on_report(instance_id from,
                                   const service_load_report& msg,
                                   std::size_t expected,
                                   time_point now)
{
    reports_[from] = entry{msg, now};
    absl::erase_if(reports_, [&](const auto& it)
                   { return it.second.received_at + max_load_report_age <= now; });
    std::size_t fresh = 0;
    for (const auto& [id, it] : reports_)
    {
        fresh += is_fresh(it, now) ? it.report.owned_endpoints : 0U;
    }
    load_total result{msg.service, 0, 0, 0};
    for (const auto& [id, it] : reports_)
    {
        if (is_fresh(it, now) || fresh < expected)
        {
            result.total_in_flight += it.report.in_flight;
            result.ready_endpoints += it.report.ready_endpoints;
            result.known_endpoints += it.report.owned_endpoints;
        }
    }
    return result;
}

bool load_summary::is_fresh(const entry& it, time_point now)
{
    return now < it.received_at + load_report_validity;
}

void service_load_estimate::on_total(const load_total& msg, std::size_t expected, time_point now)
{
    if (msg.known_endpoints < expected && now < mean_valid_until_)
    {
        return;
    }
    mean_ = service_load{msg.total_in_flight, msg.ready_endpoints};
    mean_valid_until_ = now + load_mean_validity;
}

service_load
service_load_estimate::value(const service_load& own, std::size_t expected, time_point now) const
{
    if (now >= mean_valid_until_)
    {
        const auto n = static_cast<std::uint32_t>(expected);
        return service_load{own.total_in_flight, std::max(own.ready_endpoints, n)};
    }
    return mean_;
}

bool service_load_estimate::mark_reported_if_due(const service_load& own, time_point now)
{
    const auto period = own == reported_ ? load_report_period : min_load_report_interval;
    if (now < reported_at_ + period)
    {
        return false;
    }
    reported_ = own;
    reported_at_ = now;
    return true;
}

} // namespace mangovane
