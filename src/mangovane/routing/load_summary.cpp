// Implementation of the load summary.
#include "mangovane/routing/load_summary.hpp"

namespace mangovane
{

load_mean load_summary::on_report(instance_id from, const load_report& msg, time_point now)
{
    absl::erase_if(reports_, [&](const auto& it) { return it.second.valid_until <= now; });
    reports_[from] = entry{msg, now + load_validity};
    load_mean result{msg.service, 0, 0};
    for (const auto& [id, it] : reports_)
    {
        result.total_in_flight += it.report.in_flight;
        result.ready_endpoints += it.report.ready_endpoints;
    }
    return result;
}

void known_load::on_mean(const load_mean& msg, time_point now)
{
    mean_ = service_load{msg.total_in_flight, msg.ready_endpoints};
    mean_valid_until_ = now + mean_validity;
}

service_load known_load::value(const service_load& own, time_point now) const
{
    if (now >= mean_valid_until_ || mean_.ready_endpoints < own.ready_endpoints)
    {
        return own;
    }
    return mean_;
}

bool known_load::take_due(const service_load& own, time_point now)
{
    const auto period = own == reported_ ? load_period : load_period_on_change;
    if (now < reported_at_ + period)
    {
        return false;
    }
    reported_ = own;
    reported_at_ = now;
    return true;
}

} // namespace mangovane
