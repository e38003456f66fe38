// What all instances together have seen of both versions in a rollout.
#ifndef MANGOVANE_ROLLOUT_FLEET_EVIDENCE_HPP
#define MANGOVANE_ROLLOUT_FLEET_EVIDENCE_HPP

#include <cstdint>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "mangovane/message/rollout.hpp"
#include "mangovane/rollout/route_comparison.hpp"

namespace mangovane
{

/// A verdict against the ordered version, with the counts that decided.
struct version_verdict
{
    version_defect defect{version_defect::none};
    std::uint64_t route{0}; ///< Hash of the route's name.
    response_sample current;
    response_sample ordered;

    auto operator<=>(const version_verdict&) const = default;
};

/// Sums of the instance's own responses and the reports of the others. Not thread-safe.
class fleet_evidence
{
public:
    /// Counts a response of this instance. `first_byte` is ignored for a failure.
    void on_response(std::uint64_t route,
                     version_side side,
                     bool failed,
                     milliseconds first_byte,
                     endpoint_id endpoint);

    /// Replaces what another instance has reported. A report with lower counts is of a new process:
    /// what the former one reported is kept.
    void on_report(instance_id from, const rollout_report& report);

    /// Compares the versions by what is known now. Call at least as often as reports are sent.
    void update();

    /// The verdict, if there is one: a defect on some route that more than one endpoint shows, or
    /// the only one.
    [[nodiscard]] version_verdict verdict(std::uint32_t ordered_endpoints) const;

    /// Starts to collect evidence for a sound version anew, as its share has risen.
    void restart_confirmation();

    /// Since then, each route on which the ordered version has a fair part of the responses shows a
    /// sound version, and at least one does.
    [[nodiscard]] bool confirmed() const;

    /// All responses of all routes together speak rather for a sound version than against it. This
    /// is less than `confirmed`.
    [[nodiscard]] bool favours_usual_rates() const;

    /// Good responses of the ordered version, over all instances.
    [[nodiscard]] std::uint32_t good_ordered() const;

    /// Counts of a version over all instances and routes.
    [[nodiscard]] response_counts counts(version_side side) const;

    /// Own counts, for a report to the others.
    [[nodiscard]] std::vector<route_answers> own_routes() const;
    [[nodiscard]] std::vector<endpoint_id> own_bad_endpoints() const;

    /// Sums by route, for metrics and logs.
    [[nodiscard]] std::vector<route_answers> sums() const;

private:
    using answers_by_route = absl::btree_map<std::uint64_t, route_answers>;

    [[nodiscard]] static answers_by_route sum_of(answers_by_route lhs,
                                                 const std::vector<route_answers>& rhs);
    [[nodiscard]] static bool is_below(const std::vector<route_answers>& lhs,
                                       const std::vector<route_answers>& rhs);

    answers_by_route own_;
    answers_by_route former_; ///< Last reports of processes that were restarted.
    absl::flat_hash_map<instance_id, std::vector<route_answers>> reported_; ///< Latest reports.
    absl::btree_map<std::uint64_t, route_comparison> routes_;
    absl::btree_set<endpoint_id> own_bad_endpoints_;
    absl::btree_set<endpoint_id> bad_endpoints_; ///< Of all instances.
};

} // namespace mangovane

#endif
