// Checks the promises on what was seen in a run. Pure: no clock, no processes.
#ifndef MANGOVANE_SOAK_JUDGE_HPP
#define MANGOVANE_SOAK_JUDGE_HPP

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "soak/evidence.hpp"

namespace mangovane::soak
{

/// A promise that did not hold.
struct breach
{
    std::string promise;
    std::string detail;

    auto operator<=>(const breach&) const = default;
};

/// Bounds of the users' pages.
struct promise_bounds
{
    milliseconds drain{2000};         ///< From the announcement until no new work arrives.
    milliseconds domain_out{5000};    ///< The same for a failure domain.
    milliseconds configuration{2000}; ///< Until a configuration is in force everywhere.
    milliseconds lost_slack{200};     ///< A request that crosses the close of its connection.
    double load_factor{2};
    double load_extra{3};
    std::size_t least_crowded{20}; ///< Requests beyond the load bound that are tolerated.
    double crowded_part{0.03};
    milliseconds crowd_window{5000};
    double cold_rate{9};
    double cold_overshoot{1.5};
    double cold_tolerance{5};
    std::size_t max_endpoints{2}; ///< That may run one request.

    auto operator<=>(const promise_bounds&) const = default;
};

class judge
{
public:
    /// The evidence outlives the judge.
    explicit judge(const evidence& seen, promise_bounds bounds = {});

    /// All promises, each with its own check.
    [[nodiscard]] std::vector<breach> all() const;

    /// Requests and windows that checks with a time bound looked at: a run in which nothing was
    /// calm proves little.
    [[nodiscard]] std::size_t timed_checks() const noexcept { return timed_checks_; }

private:
    void check_single_run(std::vector<breach>& out) const;
    void check_refusals(std::vector<breach>& out) const;
    void check_answers(std::vector<breach>& out) const;
    void check_runs_as_sent(std::vector<breach>& out) const;
    void check_attempts(std::vector<breach>& out) const;
    void check_denials(std::vector<breach>& out) const;
    void check_drains(std::vector<breach>& out) const;
    void check_domains_out(std::vector<breach>& out) const;
    void check_configuration(std::vector<breach>& out) const;
    void check_versions_rise(std::vector<breach>& out) const;
    void check_load(std::vector<breach>& out) const;
    void check_cold(std::vector<breach>& out) const;
    void check_stops(std::vector<breach>& out) const;

    /// Runs that arrived at `matches` endpoints too late after a change and before its end.
    template <class Matches>
    void check_late(const operator_change& change,
                    milliseconds bound,
                    time_point until,
                    Matches matches,
                    const char* name,
                    std::vector<breach>& out) const;
    [[nodiscard]] const call_record* caller_of(const std::string& request) const;

    const evidence& seen_;
    const promise_bounds bounds_;
    absl::flat_hash_map<std::string, std::vector<const run_record*>> runs_; ///< By request.
    absl::flat_hash_map<std::string, const call_record*> calls_;            ///< By request.
    mutable std::size_t timed_checks_{0};
};

} // namespace mangovane::soak

#endif
