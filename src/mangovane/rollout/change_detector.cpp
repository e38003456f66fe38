// Implementation of the sequential test.
#include "mangovane/rollout/change_detector.hpp"

#include <algorithm>
#include <cmath>

namespace mangovane
{

namespace
{

/// A raised rate is at least this multiple of the usual one,
constexpr double raised_factor = 2.5;
/// and exceeds it by at least this much.
constexpr double raised_by = 0.1;

} // namespace

void change_detector::add(const response_sample& sample, double usual_rate) noexcept
{
    const double usual = std::max(usual_rate, min_usual_rate);
    if (usual > max_usual_rate)
    {
        return;
    }
    const double raised = std::min(0.95, std::max(raised_factor * usual, usual + raised_by));
    const double per_bad = std::log(raised / usual);
    const double per_good = std::log((1 - raised) / (1 - usual));
    const double change = sample.bad * per_bad + (sample.total - sample.bad) * per_good;
    evidence_ = std::max(0.0, evidence_ + change);
    confirmation_ += change;
    total_ += change;
}

bool change_detector::detected() const noexcept
{
    return evidence_ >= std::log((1 - miss_rate) / false_alarm_rate);
}

bool change_detector::confirmed() const noexcept
{
    return confirmation_ <= std::log(miss_rate / (1 - false_alarm_rate));
}

} // namespace mangovane
