// One claim or settlement on its way to the table service.
#ifndef MANGOVANE_IDEMPOTENCY_CLAIM_TASK_HPP
#define MANGOVANE_IDEMPOTENCY_CLAIM_TASK_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "mangovane/core/time.hpp"
#include "mangovane/idempotency/claim_decision.hpp"
#include "mangovane/idempotency/claim_writer.hpp"
#include "mangovane/store/table_service.hpp"

namespace mangovane
{

enum class task_stage : std::uint8_t
{
    queued,      ///< Its write waits for a transaction.
    writing,     ///< Its write is in flight.
    backing_off, ///< The fate of its write is not known; the row is read at `read_at`.
    reading,     ///< The row is being read.
};

/// What remains to be done once the lock of the task is released.
struct task_result
{
    bool requeue{false};
    bool ended{false};                    ///< The task is to be removed.
    std::optional<stored_claim> acquired; ///< Set when the attempt now holds the claim.
    std::function<void()> completion;     ///< Calls the handler; may be empty.
};

/// Guarded by the lock of its shard. Handlers are handed out in results, never called here.
class claim_task
{
public:
    claim_task(claim wanted, time_point deadline, claim_writer::claim_handler handler);
    claim_task(claim settled, time_point deadline, claim_writer::settle_handler handler);

    /// The write for the next transaction; nothing when it does not wait for one.
    [[nodiscard]] std::optional<table_write> start_write();
    /// Whether the row is to be read now.
    [[nodiscard]] bool start_read(time_point now);
    /// The row as a write or a read showed it.
    [[nodiscard]] task_result on_row(const std::optional<table_row>& row);
    /// A write or read ended without a usable answer.
    void on_call_failed(time_point now);
    /// Ends what has reached its deadline; a claim that may be in the table is abandoned instead.
    [[nodiscard]] task_result expire(time_point now, duration background);
    /// Ends the task with an error.
    [[nodiscard]] task_result fail(const absl::Status& status);

    /// Lets a settlement write without reading first.
    void set_known_claim(const stored_claim& held);
    /// Lets a settlement read first.
    void schedule_read(time_point now);

    [[nodiscard]] bool is_settlement() const noexcept
    {
        return operation_ == claim_operation::settle;
    }
    [[nodiscard]] bool waits_for_write() const noexcept { return stage_ == task_stage::queued; }
    [[nodiscard]] const std::string& row_key() const noexcept { return row_key_; }
    [[nodiscard]] std::size_t body_bytes() const noexcept;

private:
    [[nodiscard]] task_result on_stored(const std::optional<stored_claim>& stored);
    [[nodiscard]] task_result answer(claim_result result);
    [[nodiscard]] task_result answer(absl::Status status);
    void keep_times(const claim& stored);

    claim_operation operation_;
    task_stage stage_{task_stage::queued};
    claim target_; ///< Content of the next write.
    std::string row_key_;
    std::uint64_t expected_{0}; ///< Condition of the next or latest write.
    bool written_{false};       ///< A write was sent, so the row may hold the claim.
    std::uint32_t failures_{0}; ///< In a row.
    time_point read_at_;
    time_point deadline_;
    claim_writer::claim_handler on_claim_;
    claim_writer::settle_handler on_settle_;
};

} // namespace mangovane

#endif
