// Compares the responses of two versions of a service on one route over the same period.
#ifndef MANGOVANE_ROLLOUT_ROUTE_COMPARISON_HPP
#define MANGOVANE_ROLLOUT_ROUTE_COMPARISON_HPP

#include "mangovane/rollout/change_detector.hpp"
#include "mangovane/rollout/version_answers.hpp"

namespace mangovane
{

/// How a version turned out to be worse than the one in force.
enum class version_defect : std::uint8_t
{
    none,
    fails, ///< More of its responses are failures.
    slow,  ///< More of its responses begin late.
};

class route_comparison
{
public:
    /// Takes the sums over all instances; counts never decrease.
    void update(const route_answers& sums) noexcept;

    [[nodiscard]] version_defect defect() const noexcept;

    /// Starts to collect evidence for a sound version anew.
    void restart_confirmation() noexcept;

    /// The responses since then are as good as those of the version in force.
    [[nodiscard]] bool confirmed() const noexcept;

    /// See `change_detector::log_likelihood_ratio`.
    [[nodiscard]] double failure_ratio() const noexcept { return failures_.log_likelihood_ratio(); }
    [[nodiscard]] double slowness_ratio() const noexcept
    {
        return slowness_.log_likelihood_ratio();
    }

    /// Counts of a version. Slow are those that were late when they became known: a later change of
    /// the usual time does not change them.
    [[nodiscard]] response_counts counts(version_side side) const noexcept;

    [[nodiscard]] const route_answers& sums() const noexcept { return sums_; }

    /// Whether a response that begins after this time counts as slow.
    [[nodiscard]] bool is_slow(milliseconds first_byte) const noexcept
    {
        return sums_.current.good() >= min_usual_responses &&
               first_byte_histogram::bucket_of(first_byte) > slow_above();
    }

    /// Counts of the ordered version: its failures and late responses.
    [[nodiscard]] std::uint32_t bad() const noexcept { return sums_.ordered.failed + slow_; }

    /// A response is slow if it begins later than twice the time within which this fraction of the
    /// responses of the version in force begin.
    static constexpr double usual_fraction = 0.95;

    /// Without as many good responses of the version in force, there is no usual time.
    static constexpr std::uint32_t min_usual_responses = 20;

private:
    /// First-byte bucket above which a response is slow.
    [[nodiscard]] std::size_t slow_above() const noexcept;
    [[nodiscard]] double usual_failure_rate(const version_answers& added) noexcept;

    route_answers sums_;
    change_detector failures_;
    change_detector slowness_;
    std::uint32_t slow_{0};         ///< Late responses of the ordered version.
    std::uint32_t slow_current_{0}; ///< Late responses of the version in force.
    /// Recent responses of the version in force, in which older ones weigh less: on a bad day they
    /// fail more often than before.
    double recent_total_{0};
    double recent_failed_{0};
};

} // namespace mangovane

#endif
