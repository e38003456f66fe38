// Implementation of the comparison of two versions.
#include "mangovane/rollout/route_comparison.hpp"

#include <algorithm>

namespace mangovane
{

namespace
{

/// Responses of the version in force that count as recent: enough for a rate, few enough to follow
/// an incident within a second of ordinary traffic.
constexpr double recent_window = 100;

/// With fewer recent responses only the rate since the order is used.
constexpr double min_recent = 20;

} // namespace

std::size_t route_comparison::slow_above() const noexcept
{
    return sums_.current.first_bytes.quantile_bucket(usual_fraction) +
           first_byte_histogram::buckets_per_doubling;
}

double route_comparison::usual_failure_rate(const version_answers& added) noexcept
{
    const double total = added.total();
    const double keep = std::max(0.0, 1 - total / recent_window);
    recent_total_ = recent_total_ * keep + total;
    recent_failed_ = recent_failed_ * keep + added.failed;
    const response_sample all{sums_.current.total(), sums_.current.failed};
    const double recent =
        recent_total_ < min_recent ? 0 : (recent_failed_ + 1) / (recent_total_ + 2);
    return std::max(all.rate(), recent);
}

void route_comparison::update(const route_answers& sums) noexcept
{
    const auto current = added_since(sums_.current, sums.current);
    const auto ordered = added_since(sums_.ordered, sums.ordered);
    sums_ = sums;
    const auto usual_rate = usual_failure_rate(current);
    failures_.add({ordered.total(), ordered.failed}, usual_rate);
    if (sums_.current.good() < min_usual_responses)
    {
        return;
    }
    const auto threshold = slow_above();
    const auto late = ordered.first_bytes.above(threshold);
    const response_sample usual{sums_.current.good(), sums_.current.first_bytes.above(threshold)};
    slow_ += late;
    slow_current_ += current.first_bytes.above(threshold);
    slowness_.add({ordered.good(), late}, usual.rate());
}

version_defect route_comparison::defect() const noexcept
{
    if (failures_.detected())
    {
        return version_defect::fails;
    }
    return slowness_.detected() ? version_defect::slow : version_defect::none;
}

response_counts route_comparison::counts(version_side side) const noexcept
{
    const bool is_ordered = side == version_side::ordered;
    const auto& answers = is_ordered ? sums_.ordered : sums_.current;
    return {answers.good(), answers.failed, is_ordered ? slow_ : slow_current_};
}

void route_comparison::restart_confirmation() noexcept
{
    failures_.restart_confirmation();
    slowness_.restart_confirmation();
}

bool route_comparison::confirmed() const noexcept
{
    return failures_.confirmed() && slowness_.confirmed();
}

} // namespace mangovane
