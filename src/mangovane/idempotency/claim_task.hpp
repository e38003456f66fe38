// State machine of one claim or settlement at the table service.
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
    queued,      ///< The write waits for a transaction.
    writing,     ///< The write is in flight.
    backing_off, ///< Whether the write was applied is unknown; the row is read at `read_at_`.
    reading,     ///< The row is being read.
};

/// What the caller has to do after it has released the lock of the task.
struct task_result
{
    bool requeue{false};                  ///< The task waits for another transaction.
    bool ended{false};                    ///< The task must be removed.
    std::optional<stored_claim> acquired; ///< Set if the attempt now holds the claim.
    std::function<void()> completion;     ///< Calls the handler; may be empty.
};

/// Guarded by the lock of its shard. Handlers are returned in results and never called here.
class claim_task
{
public:
    claim_task(claim wanted, time_point deadline, claim_writer::claim_handler handler);
    claim_task(claim settled, time_point deadline, claim_writer::settle_handler handler);

    /// Starts the write and returns it; no value if the task does not wait for a transaction.
    [[nodiscard]] std::optional<table_write> start_write();
    /// Starts a read of the row if one is due; returns whether it did.
    [[nodiscard]] bool start_read(time_point now);
    /// Handles the row that a write or read has returned; no value: it does not exist.
    [[nodiscard]] task_result on_row(const std::optional<table_row>& row);
    /// Handles a write or read that ended without a usable answer.
    void on_call_failed(time_point now);
    /// Ends the task once its deadline has passed. A claim that may be in the table is abandoned
    /// instead, with `background` as the time limit.
    [[nodiscard]] task_result expire(time_point now, duration background);
    /// Ends the task with an error.
    [[nodiscard]] task_result fail(const absl::Status& status);

    /// Lets a settlement write the row without reading it first.
    void set_known_claim(const stored_claim& held);
    /// Lets a settlement read the row first.
    void schedule_read(time_point now);

    [[nodiscard]] bool is_settlement() const noexcept
    {
        return operation_ == claim_operation::settle;
    }
    [[nodiscard]] bool waits_for_write() const noexcept { return stage_ == task_stage::queued; }
    [[nodiscard]] const std::string& row_key() const noexcept { return row_key_; }
    /// Size of the outcome's body.
    [[nodiscard]] std::size_t body_bytes() const noexcept;

private:
    [[nodiscard]] task_result on_stored(const std::optional<stored_claim>& stored);
    [[nodiscard]] task_result finish(claim_result result);
    [[nodiscard]] task_result finish(absl::Status status);
    void copy_times(const claim& stored);

    claim_operation operation_;
    task_stage stage_{task_stage::queued};
    claim target_; ///< Content of the next write.
    std::string row_key_;
    std::uint64_t expected_revision_{0}; ///< Revision expected by the next or latest write.
    bool written_{false};                ///< A write was sent, so the row may hold the claim.
    std::uint32_t failures_{0};          ///< Failed calls in a row.
    time_point read_at_;
    time_point deadline_;
    claim_writer::claim_handler on_claim_;
    claim_writer::settle_handler on_settle_;
};

} // namespace mangovane

#endif
