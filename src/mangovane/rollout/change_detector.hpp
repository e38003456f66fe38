// Sequential test of whether a rate of bad responses exceeds its usual value.
#ifndef MANGOVANE_ROLLOUT_CHANGE_DETECTOR_HPP
#define MANGOVANE_ROLLOUT_CHANGE_DETECTOR_HPP

#include <compare>
#include <cstdint>

namespace mangovane
{

/// Responses and how many of them are bad.
struct response_sample
{
    std::uint32_t total{0};
    std::uint32_t bad{0};

    /// Estimate of the rate, which is one half without any response.
    [[nodiscard]] double rate() const noexcept { return (bad + 1.0) / (total + 2.0); }

    auto operator<=>(const response_sample&) const = default;
};

/// Wald's sequential probability ratio test of a raised rate against the usual one ("Sequential
/// Tests of Statistical Hypotheses", 1945), restarted whenever it favours the usual rate, so that a
/// change is found however long the rate was usual (Page, "Continuous Inspection Schemes", 1954).
class change_detector
{
public:
    /// Adds responses that followed the earlier ones.
    void add(const response_sample& sample, double usual_rate) noexcept;

    /// Starts to collect evidence for the usual rate anew, for `confirmed`.
    void restart_confirmation() noexcept { confirmation_ = 0; }

    /// The rate is raised.
    [[nodiscard]] bool detected() const noexcept;

    /// The responses since `restart_confirmation` show the usual rate.
    [[nodiscard]] bool confirmed() const noexcept;

    /// Log-likelihood ratio of all responses for a raised rate; those of independent samples add.
    [[nodiscard]] double log_likelihood_ratio() const noexcept { return total_; }

    auto operator<=>(const change_detector&) const = default;

    /// Probability of a verdict against a version whose rate is usual.
    static constexpr double false_alarm_rate = 1e-4;

    /// Probability that a raised rate is confirmed as usual.
    static constexpr double miss_rate = 0.01;

    /// Lower rates are not told apart: a handful of bad responses is no evidence.
    static constexpr double min_usual_rate = 0.02;

    /// Above this usual rate the service fails by itself, and no comparison is made.
    static constexpr double max_usual_rate = 0.5;

private:
    double evidence_{0};     ///< Log-likelihood ratio for a raised rate; never negative.
    double confirmation_{0}; ///< The same since the last restart; negative for the usual rate.
    double total_{0};        ///< The same since the start; negative for the usual rate.
};

} // namespace mangovane

#endif
