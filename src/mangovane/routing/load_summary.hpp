// The load of one service, summed at its summary owner from the reports of the owners of its
// endpoints.
#ifndef MANGOVANE_ROUTING_LOAD_SUMMARY_HPP
#define MANGOVANE_ROUTING_LOAD_SUMMARY_HPP

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/time.hpp"
#include "mangovane/ledger/bound.hpp"
#include "mangovane/message/load.hpp"

namespace mangovane
{

/// Period of load reports.
inline constexpr milliseconds load_report_period{500};
/// Shortest time between two reports when the load changes.
inline constexpr milliseconds load_report_period_on_change{100};
/// A report older than this is used only while the newer ones do not cover all endpoints: when an
/// owner dies, its endpoints have no owner for some seconds, and the mean of the others must not
/// jump.
inline constexpr milliseconds load_report_validity{2000};
inline constexpr milliseconds max_load_report_age{10000};
/// A mean is used for longer than a report: while a summary owner is replaced, an owner's own
/// endpoints would be a poor sample of the service.
inline constexpr milliseconds load_mean_validity{6000};

class load_summary
{
public:
    /// Takes a report and returns the load of the service, which has `expected` endpoints in the
    /// list.
    [[nodiscard]] load_mean
    on_report(instance_id from, const load_report& msg, std::size_t expected, time_point now);

private:
    struct entry
    {
        load_report report;
        time_point received_at;
    };

    [[nodiscard]] static bool is_fresh(const entry& it, time_point now);

    absl::flat_hash_map<instance_id, entry> reports_; ///< None older than `max_load_report_age`.
};

/// What an owner of endpoints knows of the load of their service.
class service_load_estimate
{
public:
    /// Takes a mean, unless it covers fewer than `expected` endpoints and a better one is still
    /// valid.
    void on_mean(const load_mean& msg, std::size_t expected, time_point now);

    /// Load of the service. Without a valid mean it is the owner's own load over all `expected`
    /// endpoints: a bound from the own endpoints alone would rise with their load.
    [[nodiscard]] service_load
    value(const service_load& own, std::size_t expected, time_point now) const;

    /// Whether a report is due; remembers it as sent.
    [[nodiscard]] bool mark_reported_if_due(const service_load& own, time_point now);

    /// What this instance reported last; part of the mean that came in answer to it.
    [[nodiscard]] const service_load& reported() const noexcept { return reported_; }

private:
    service_load mean_;
    time_point mean_valid_until_{};
    service_load reported_;
    time_point reported_at_{};
};

} // namespace mangovane

#endif
