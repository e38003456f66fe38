// Checks what must hold across changes of the configuration and a store that comes back older, on
// the observations of a run. Uses no clock and no processes.
#ifndef MANGOVANE_SOAK_CHANGE_CHECKER_HPP
#define MANGOVANE_SOAK_CHANGE_CHECKER_HPP

#include <vector>

#include "soak/invariant_checker.hpp"

namespace mangovane::soak
{

class change_checker
{
public:
    /// The observations must outlive the checker.
    explicit change_checker(const run_observations& observed, invariant_bounds bounds = {})
        : observed_{observed}, bounds_{bounds}
    {}

    /// The violations of all invariants.
    [[nodiscard]] std::vector<violation> all() const;

    /// Number of requests to which a time bound was applied.
    [[nodiscard]] std::size_t timed_checks() const noexcept { return timed_checks_; }

private:
    /// A configuration that was lost with the store and written again is in force within the bound.
    void check_in_force_again(std::vector<violation>& out) const;
    /// A removed key or route is refused within the bound.
    void check_removed_in_time(std::vector<violation>& out) const;
    /// A process that has served a configuration refuses what that configuration had removed.
    void check_removed_for_good(std::vector<violation>& out) const;

    /// The memory of a router with uncontrolled callers stays under its bound.
    void check_uncontrolled_memory(std::vector<violation>& out) const;
    /// A router serves ordinary calls after uncontrolled callers.
    void check_served_after_uncontrolled(std::vector<violation>& out) const;

    /// Whether the router had no outage from before the time span on, and the store none in it.
    [[nodiscard]] bool settled_after_return(const call_record& it, time_point from) const;

    const run_observations& observed_;
    const invariant_bounds bounds_;
    mutable std::size_t timed_checks_{0};
};

} // namespace mangovane::soak

#endif
