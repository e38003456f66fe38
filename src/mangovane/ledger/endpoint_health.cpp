// Implementation of the endpoint health.
#include "mangovane/ledger/endpoint_health.hpp"

#include <algorithm>

namespace mangovane
{

bool endpoint_health::on_poll(bool answered) noexcept
{
    if (answered)
    {
        const bool returned = failed_polls_ >= poll_limit;
        failed_polls_ = 0;
        return returned;
    }
    failed_polls_ = std::min(failed_polls_ + 1, poll_limit);
    return false;
}

void endpoint_health::on_outcome(attempt_outcome outcome, time_point now) noexcept
{
    if (outcome == attempt_outcome::succeeded)
    {
        failures_ = 0;
        ejection_ = first_ejection;
        return;
    }
    if (outcome != attempt_outcome::failed || ++failures_ < failure_limit)
    {
        return;
    }
    ejected_until_ = now + ejection_;
    ejection_ = std::min(2 * ejection_, longest_ejection);
    // A single failure after the return ejects the endpoint again.
    failures_ = failure_limit - 1;
}

} // namespace mangovane
