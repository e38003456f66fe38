// Request metrics: histograms per client account and class, and counters of outcomes.
#ifndef MANGOVANE_OBSERVE_REQUEST_METRICS_HPP
#define MANGOVANE_OBSERVE_REQUEST_METRICS_HPP

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "mangovane/observe/account_labels.hpp"
#include "mangovane/observe/latency_histogram.hpp"
#include "mangovane/observe/request_record.hpp"

namespace mangovane
{

/// Maximum number of accounts with their own label. With 7,300 accounts and three classes,
/// histograms for all accounts would exceed the memory limit of a node.
inline constexpr std::size_t max_labelled_accounts = 200;

class request_metrics final : public request_observer
{
public:
    /// At most `labels` accounts have their own label.
    explicit request_metrics(std::size_t labels = max_labelled_accounts);

    void on_request_end(const request_record& record) override;
    void on_early_refusal(error_kind kind) override
    {
        ++early_refusals_[static_cast<std::size_t>(kind)];
    }
    void on_dropped_answer() override { ++dropped_answers_; }
    void on_failed_attempt(std::string_view result) override;
    void on_caller_stall() override { ++caller_stalls_; }
    void on_session_end(std::string_view reason) override;

    /// Assigns the labels to approximately the busiest accounts since the last call. Call once per
    /// minute.
    void rotate_labels();

    /// All metrics in the Prometheus text format; without account labels when `with_accounts` is
    /// false.
    [[nodiscard]] std::string text(bool with_accounts) const;

private:
    /// Latencies of the requests of one account in one class.
    struct request_histograms
    {
        latency_histogram total;
        latency_histogram queue_wait;
        latency_histogram first_token;
    };

    using class_histograms = std::array<request_histograms, request_class_count>;

    /// A metric name and the member that holds its histogram.
    struct named_histogram
    {
        const char* name;
        latency_histogram request_histograms::*member;
    };
    static const std::array<named_histogram, 3> histogram_table;

    void append_counters(std::string& out) const;
    void append_histograms(std::string& out,
                           const std::string& account,
                           const class_histograms& histograms) const;

    mutable std::mutex mutex_;
    account_labels labels_; ///< Guarded by `mutex_`.
    /// Labelled accounts only. Guarded by `mutex_`.
    absl::flat_hash_map<account_id, class_histograms> accounts_;
    class_histograms other_;                        ///< All other accounts. Guarded by `mutex_`.
    class_histograms all_;                          ///< Every account. Guarded by `mutex_`.
    std::map<std::string, std::uint64_t> outcomes_; ///< Requests by outcome. Guarded by `mutex_`.
    std::map<std::string, std::uint64_t> failed_attempts_; ///< By result. Guarded by `mutex_`.
    std::map<std::string, std::uint64_t> session_ends_;    ///< By reason. Guarded by `mutex_`.
    std::uint64_t affinity_requests_{0};                   ///< Guarded by `mutex_`.
    std::uint64_t affinity_kept_{0};                       ///< Guarded by `mutex_`.
    std::array<std::atomic<std::uint64_t>, error_kind_count> early_refusals_{}; ///< By kind.
    std::atomic<std::uint64_t> dropped_answers_{0};
    std::atomic<std::uint64_t> caller_stalls_{0};
};

} // namespace mangovane

#endif
