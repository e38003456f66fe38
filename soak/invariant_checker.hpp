// Checks the invariants of the router on the observations of a run. Uses no clock and no processes.
#ifndef MANGOVANE_SOAK_INVARIANT_CHECKER_HPP
#define MANGOVANE_SOAK_INVARIANT_CHECKER_HPP

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "soak/run_observations.hpp"

namespace mangovane::soak
{

/// An invariant that did not hold.
struct violation
{
    std::string invariant;
    std::string detail;

    auto operator<=>(const violation&) const = default;
};

/// A router reads a request, and its deadline begins, up to so long before the caller's stamp of
/// the end of its write.
inline constexpr milliseconds stamp_slack{20};

/// Bounds as documented for users.
struct invariant_bounds
{
    /// Time from the announcement of a drain until no new requests arrive.
    milliseconds drain{2000};
    /// Time from the evacuation of a domain until no new requests arrive.
    milliseconds domain_out{5000};
    milliseconds configuration{2000}; ///< Time until a configuration is active in all routers.
    /// Duration of a call whose request crosses the close of its connection.
    milliseconds close_race_tolerance{200};
    double load_factor{2};    ///< Load bound as a multiple of the mean load.
    double load_allowance{3}; ///< Requests added to the load bound.
    /// A violation is reported only if at least this many arrivals of a window, and more than
    /// `max_overloaded_ratio` of them, exceed the load bound.
    std::size_t min_overloaded{20};
    double max_overloaded_ratio{0.03};
    milliseconds overload_window{5000};
    double cold_requests_per_s{9}; ///< Rate that a cold endpoint accepts.
    double cold_overshoot{1.5};    ///< Multiple of the rate that is tolerated.
    double cold_tolerance{5};      ///< Requests added to the bound of a window of one second.
    std::size_t max_endpoints{2};  ///< Endpoints that may run the same request.
    /// Requests of a run that may be forwarded and end without a complete response.
    std::size_t max_unanswered{3};
    /// Peak memory of a router with 100 uncontrolled callers: 12 MB when idle, and their part of
    /// the target of 64 MB for 300 callers.
    std::size_t uncontrolled_memory_kb{(12 + (64 - 12) * 100 / 300) * std::size_t{1024}};
    /// Time after such callers in which their connections end.
    milliseconds uncontrolled_end{3000};
    /// A router that serves none of this many ordinary calls after them is reported.
    std::size_t min_calls_after_uncontrolled{10};
    double canary_share{0.1};    ///< Of a bad version, in the requests of its service.
    double canary_tolerance{50}; ///< Requests added to it.
    milliseconds rollback{5000}; ///< From the failures below until no request is sent there.
    std::size_t failures_before_rollback{50};
    /// Time in which a final status that a store came back without is written again.
    milliseconds status_again{5000};
    milliseconds grace{8000}; ///< From SIGTERM until the end of the process.
    /// Share of the grace period in which callers may send requests that a stop may cut.
    double sending_share{3.0 / 8};
    /// A stop may cut such requests if their endpoint is still at work after this share.
    double work_share{5.0 / 6};

    auto operator<=>(const invariant_bounds&) const = default;
};

/// Requests that ran and whose router received SIGTERM before they ended.
struct stop_counts
{
    std::size_t answered{0};
    std::size_t late{0};       ///< Of the answered ones, sent when a stop may no longer cut them.
    std::size_t cut_at_end{0}; ///< Cut as allowed, since their endpoint worked up to the end.

    auto operator<=>(const stop_counts&) const = default;
};

class invariant_checker
{
public:
    /// The observations must outlive the checker.
    explicit invariant_checker(const run_observations& observed, invariant_bounds bounds = {});

    /// The violations of all invariants.
    [[nodiscard]] std::vector<violation> all() const;

    /// Number of requests and windows to which a time bound was applied. A low number means that
    /// most of the run was disturbed and the time bounds are hardly covered.
    [[nodiscard]] std::size_t timed_checks() const noexcept { return timed_checks_; }

    /// Number of requests that were sent in time and whose connection a running router closed
    /// without forwarding them. A few may cross the close of an idle connection.
    [[nodiscard]] std::size_t closed_unread() const;

    /// Shows how much of the run `check_lost_at_stops` covers.
    [[nodiscard]] stop_counts at_stops() const;

private:
    void check_single_run(std::vector<violation>& out) const;
    void check_refusals(std::vector<violation>& out) const;
    void check_answers(std::vector<violation>& out) const;
    void check_runs_as_sent(std::vector<violation>& out) const;
    void check_attempts(std::vector<violation>& out) const;
    void check_denials(std::vector<violation>& out) const;
    void check_drains(std::vector<violation>& out) const;
    void check_domains_out(std::vector<violation>& out) const;
    void check_configuration(std::vector<violation>& out) const;
    void check_versions_rise(std::vector<violation>& out) const;
    void check_load(std::vector<violation>& out) const;
    void check_cold(std::vector<violation>& out) const;
    void check_stops(std::vector<violation>& out) const;
    void check_unanswered(std::vector<violation>& out) const;
    void check_lost_at_stops(std::vector<violation>& out) const;

    /// The SIGTERM that the process of the router received before the call ended, if any.
    [[nodiscard]] const process_end* stop_of(const call_record& it) const;
    /// Whether the request was sent early enough for the stop to cut it at its end, and was cut
    /// then, while its endpoint was at work.
    [[nodiscard]] bool cut_at_end(const call_record& it, const process_end& stop) const;
    /// Whether an unplanned fault of the router or of an endpoint that ran the request may have
    /// ended it.
    [[nodiscard]] bool ended_by_fault(const call_record& it) const;

    /// Whether the caller waited until its connection ended without a complete response, while no
    /// signal ended the process of the router.
    [[nodiscard]] bool ended_by_running_router(const call_record& it) const;

    /// Reports runs that satisfy `matches` and arrived later than `bound` after the change and
    /// before `until`.
    template <class Matches>
    void check_late_runs(const operator_change& change,
                         milliseconds bound,
                         time_point until,
                         Matches matches,
                         const char* name,
                         std::vector<violation>& out) const;
    [[nodiscard]] const call_record* call_of(const std::string& request) const;

    const run_observations& observed_;
    const invariant_bounds bounds_;
    absl::flat_hash_map<std::string, std::vector<const execution_record*>> runs_; ///< By request.
    absl::flat_hash_map<std::string, const call_record*> calls_;                  ///< By request.
    mutable std::size_t timed_checks_{0};
};

} // namespace mangovane::soak

#endif
