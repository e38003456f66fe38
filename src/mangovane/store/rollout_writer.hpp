// Reads and writes the store's rows about rollouts while this instance reads the store.
#ifndef MANGOVANE_STORE_ROLLOUT_WRITER_HPP
#define MANGOVANE_STORE_ROLLOUT_WRITER_HPP

#include <cstdint>
#include <mutex>
#include <optional>

#include "mangovane/rollout/rollout_registry.hpp"
#include "mangovane/store/rollout_table.hpp"

namespace mangovane
{

/// One call to the store at a time. A write that was lost, or refused because another instance
/// wrote first, is resolved by reading the rows again. Thread-safe.
class rollout_writer
{
public:
    /// Both must outlive the writer.
    rollout_writer(rollout_registry& registry, rollout_table& table)
        : registry_{registry}, table_{table}
    {}

    /// Starts the next call, if one is due. `era` is the store's era as far as it is known: a store
    /// that has come back from an older copy may have lost the rows, also of a final status.
    void tick(time_point now, std::uint64_t era);

    /// Calls are priced: the rows are read this often while a rollout is running, and this long
    /// after a call that failed.
    static constexpr milliseconds read_period{2000};
    static constexpr milliseconds retry_period{300};
    static constexpr milliseconds call_timeout{1000};

    /// Rows that were read longer ago are read again before they are written.
    static constexpr milliseconds max_rows_age = read_period + call_timeout;

private:
    /// The rows as they were read, with the time of the read.
    struct stored_rows
    {
        rollout_listing listing;
        time_point read_at;

        bool operator==(const stored_rows&) const = default;
    };

    [[nodiscard]] status_decision decide(const rollout_summary& rollout) const;
    void read(time_point now);
    void write(const rollout_write& rows, time_point now);
    void on_listing(absl::StatusOr<rollout_listing> response);
    void on_written(const absl::Status& status);

    rollout_registry& registry_;
    rollout_table& table_;
    std::mutex mutex_;
    bool calling_{false};             ///< Guarded by `mutex_`.
    time_point next_read_{};          ///< Guarded by `mutex_`.
    std::uint64_t era_{0};            ///< Of the last tick without a call. Guarded by `mutex_`.
    std::optional<stored_rows> rows_; ///< No value: to be read again. Guarded by `mutex_`.
};

} // namespace mangovane

#endif
