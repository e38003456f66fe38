// Checks what must hold of rollouts, on the observations of a run. Uses no clock and no processes.
#ifndef MANGOVANE_SOAK_ROLLOUT_CHECKER_HPP
#define MANGOVANE_SOAK_ROLLOUT_CHECKER_HPP

#include <vector>

#include "soak/invariant_checker.hpp"

namespace mangovane::soak
{

class rollout_checker
{
public:
    /// The observations must outlive the checker.
    explicit rollout_checker(const run_observations& observed, invariant_bounds bounds = {});

    /// The violations of all invariants.
    [[nodiscard]] std::vector<violation> all() const;

private:
    /// A bad version gets no more than its share of the requests until the deadline.
    void check_share(std::vector<violation>& out) const;
    /// A bad version gets no request that was sent `rollback` after its 50th bad response.
    void check_rollback(std::vector<violation>& out) const;
    /// A final status changes only when the store comes back older, and is then written again.
    void check_final_status(std::vector<violation>& out) const;
    /// Whether the store came back older after `from` and by `until`.
    [[nodiscard]] bool store_returned(time_point from, time_point until) const;

    const run_observations& observed_;
    const invariant_bounds bounds_;
    time_point end_{}; ///< Of the observations: start of the last execution.
};

} // namespace mangovane::soak

#endif
