// Load of a service: summed by its summary owner from the reports of the endpoint owners, and
// estimated by the endpoint owners from the mean that they receive back.
#ifndef MANGOVANE_ROUTING_LOAD_SUMMARY_HPP
#define MANGOVANE_ROUTING_LOAD_SUMMARY_HPP

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/time.hpp"
#include "mangovane/ledger/bound.hpp"
#include "mangovane/message/load.hpp"

namespace mangovane
{

/// Period of load reports while the load is unchanged.
inline constexpr milliseconds load_report_period{500};
/// Minimum time between two load reports when the load changes.
inline constexpr milliseconds min_load_report_interval{100};
/// Reports younger than this are always used.
inline constexpr milliseconds load_report_validity{2000};
/// Reports up to this age are used while the younger ones do not cover all endpoints: after an
/// owner has failed, its endpoints have no owner for some seconds, during which the mean must not
/// jump.
inline constexpr milliseconds max_load_report_age{10000};
/// Longer than the validity of a report, because while the summary owner is replaced, the endpoints
/// of one owner would be a poor sample of the service.
inline constexpr milliseconds load_mean_validity{6000};

/// Reports of the endpoint owners of one service.
class load_summary
{
public:
    /// Stores a report and returns the load of the service, which has `expected` endpoints on the
    /// platform's list.
    [[nodiscard]] load_total on_report(instance_id from,
                                       const service_load_report& msg,
                                       std::size_t expected,
                                       time_point now);

private:
    struct entry
    {
        service_load_report report;
        time_point received_at;
    };

    [[nodiscard]] static bool is_fresh(const entry& it, time_point now);

    absl::flat_hash_map<instance_id, entry> reports_; ///< None older than `max_load_report_age`.
};

/// Load of a service as estimated by an owner of some of its endpoints.
class service_load_estimate
{
public:
    /// Stores a mean, unless it covers fewer than `expected` endpoints while an earlier one is
    /// still valid.
    void on_total(const load_total& msg, std::size_t expected, time_point now);

    /// Load of the service. Without a valid mean, this is the load of the own endpoints divided
    /// among all `expected` endpoints: a bound from the own endpoints alone would rise with their
    /// load.
    [[nodiscard]] service_load
    value(const service_load& own, std::size_t expected, time_point now) const;

    /// Returns whether a load report is due, and if so records it as sent.
    [[nodiscard]] bool mark_reported_if_due(const service_load& own, time_point now);

    /// Load in the last report of this instance, which is part of the mean received in answer.
    [[nodiscard]] const service_load& reported() const noexcept { return reported_; }

private:
    service_load mean_;
    time_point mean_valid_until_{};
    service_load reported_;
    time_point reported_at_{};
};

} // namespace mangovane

#endif
