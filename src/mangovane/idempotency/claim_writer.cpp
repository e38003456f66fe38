// Implementation of the claim writer: tasks in shards, a write queue, and the calls of the table.
#include "mangovane/idempotency/claim_writer.hpp"

#include <algorithm>
#include <atomic>
#include <utility>
#include <vector>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/core/hash.hpp"
#include "mangovane/core/sharded_map.hpp"
#include "mangovane/idempotency/claim_task.hpp"
#include "mangovane/idempotency/claim_write_queue.hpp"

namespace mangovane
{

namespace
{

/// Timeout of one call of the table. A slower call counts as lost, and its rows are read back.
constexpr seconds call_timeout{5};
/// Limits the reads in flight: the 64 rows of a lost transaction are not read all at once, because
/// the table serves about two thousand reads per second to the whole fleet.
constexpr std::size_t max_reads_in_flight = 16;

/// Acquired claims cached per shard. Entries of claims that are never settled are not removed; when
/// the cache is full, the settlement of another claim takes one additional read.
constexpr std::size_t max_held_per_shard = 256;

/// Replaces a body by its digest if it is too large, or if it exceeds the memory for pending
/// bodies.
void limit_body(claim& settled, std::size_t pending_body_bytes)
{
    if (!settled.outcome || !settled.outcome->body_stored)
    {
        return;
    }
    auto& outcome = *settled.outcome;
    outcome.body_digest = hash_bytes(outcome.body);
    if (outcome.body.size() > max_stored_body_bytes ||
        pending_body_bytes + outcome.body.size() > claim_writer::max_pending_body_bytes)
    {
        outcome.body.clear();
        outcome.body_stored = false;
    }
}

} // namespace

/// Callbacks of the table hold it by weak pointer, so that they have no effect once the writer is
/// destroyed.
struct claim_writer::state : std::enable_shared_from_this<claim_writer::state>
{
    explicit state(table_service& service) : table{service} {}

    void add(claim_task task, time_point now);
    void add_settlement(claim settled, time_point now, time_point deadline, settle_handler handler);
    void tick(time_point now);
    void close();

    /// What a tick has to do once it holds no lock.
    struct due_work
    {
        std::vector<std::function<void()>> completions;
        std::vector<std::pair<std::uint64_t, std::string>> reads; ///< Task and row key.
    };

    [[nodiscard]] std::vector<std::uint64_t> task_ids(); ///< In ascending order.
    void collect_due(std::uint64_t id, time_point now, due_work& out);
    void send_due_writes(time_point now);
    std::vector<table_write> start_writes(const std::vector<queued_write>& items,
                                          std::vector<std::uint64_t>& tasks_written);
    void on_written(const std::vector<std::uint64_t>& written,
                    const absl::StatusOr<std::vector<write_result>>& results);
    void on_read(std::uint64_t id, const absl::StatusOr<std::optional<table_row>>& row);
    void on_row(std::uint64_t id, const std::optional<table_row>& row);
    void on_call_failed(std::uint64_t id);
    void read_row(std::uint64_t id, const std::string& row_key, time_point now);
    void enqueue(std::uint64_t id, const std::string& row_key, time_point now);
    void remove_from_counts(const claim_task& task);

    [[nodiscard]] time_point last_time() const { return time_point{duration{last_now.load()}}; }

    table_service& table;
    sharded_map<std::uint64_t, claim_task> tasks; ///< By task id.
    sharded_map<attempt_id, stored_claim>
        held_claims; ///< Acquired claims; saves a read at settlement.
    claim_write_queue write_queue{max_batch_writes, batch_window};
    std::atomic<std::uint64_t> last_id{0};
    std::atomic<duration::rep> last_now{0}; ///< Time of the latest call, for answers of the table.
    std::atomic<std::size_t> pending_claims{0};     ///< Claims, also those being abandoned.
    std::atomic<std::size_t> pending_body_bytes{0}; ///< Bodies in pending settlements.
    std::atomic<std::size_t> reads_in_flight{0};
};

void claim_writer::state::remove_from_counts(const claim_task& task)
{
    if (!task.is_settlement())
    {
        --pending_claims;
    }
    pending_body_bytes -= task.body_bytes();
}

void claim_writer::state::enqueue(std::uint64_t id, const std::string& row_key, time_point now)
{
    if (write_queue.push({id, hash_bytes(row_key), now}))
    {
        send_due_writes(now);
    }
}

void claim_writer::state::add(claim_task task, time_point now)
{
    last_now = now.time_since_epoch().count();
    const auto id = ++last_id;
    const auto row_key = task.row_key();
    const bool writes_first = task.waits_for_write();
    tasks.with_shard(id, [&](auto& entries) { entries.emplace(id, std::move(task)); });
    if (writes_first)
    {
        enqueue(id, row_key, now);
    }
}

void claim_writer::state::add_settlement(claim settled,
                                         time_point now,
                                         time_point deadline,
                                         settle_handler handler)
{
    limit_body(settled, pending_body_bytes);
    std::optional<stored_claim> known;
    held_claims.with_shard(settled.attempt,
                           [&](auto& entries)
                           {
                               const auto it = entries.find(settled.attempt);
                               if (it != entries.end())
                               {
                                   known = std::move(it->second);
                                   entries.erase(it);
                               }
                           });
    claim_task task{std::move(settled), deadline, std::move(handler)};
    pending_body_bytes += task.body_bytes();
    if (known)
    {
        task.set_known_claim(*known);
    }
    else
    {
        task.schedule_read(now);
    }
    add(std::move(task), now);
}

std::vector<std::uint64_t> claim_writer::state::task_ids()
{
    std::vector<std::uint64_t> result;
    tasks.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [id, task] : entries)
            {
                result.push_back(id);
            }
        });
    std::sort(result.begin(), result.end());
    return result;
}

void claim_writer::state::collect_due(std::uint64_t id, time_point now, due_work& out)
{
    tasks.with_shard(id,
                     [&](auto& entries)
                     {
                         const auto it = entries.find(id);
                         if (it == entries.end())
                         {
                             return;
                         }
                         auto& task = it->second;
                         auto result = task.expire(now, abandon_retry_time);
                         if (result.completion)
                         {
                             out.completions.push_back(std::move(result.completion));
                         }
                         if (result.ended)
                         {
                             remove_from_counts(task);
                             entries.erase(it);
                         }
                         else if (reads_in_flight + out.reads.size() < max_reads_in_flight &&
                                  task.start_read(now))
                         {
                             out.reads.emplace_back(id, task.row_key());
                         }
                     });
}

void claim_writer::state::tick(time_point now)
{
    last_now = now.time_since_epoch().count();
    due_work due;
    // The oldest tasks read first, as the number of reads in flight is limited.
    for (const auto id : task_ids())
    {
        collect_due(id, now, due);
    }
    for (const auto& [id, row_key] : due.reads)
    {
        read_row(id, row_key, now);
    }
    send_due_writes(now);
    for (const auto& it : due.completions)
    {
        it();
    }
}

void claim_writer::state::close()
{
    std::vector<std::function<void()>> completions;
    tasks.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [id, task] : entries)
            {
                auto result = task.fail(absl::CancelledError("the instance is shutting down"));
                completions.push_back(std::move(result.completion));
            }
            entries.clear();
        });
    for (const auto& it : completions)
    {
        if (it)
        {
            it();
        }
    }
}

std::vector<table_write>
claim_writer::state::start_writes(const std::vector<queued_write>& items,
                                  std::vector<std::uint64_t>& tasks_written)
{
    std::vector<table_write> writes;
    for (const auto& it : items)
    {
        tasks.find(it.task,
                   [&](claim_task& task)
                   {
                       if (auto write = task.start_write())
                       {
                           writes.push_back(*std::move(write));
                           tasks_written.push_back(it.task);
                       }
                   });
    }
    return writes;
}

void claim_writer::state::send_due_writes(time_point now)
{
    for (auto items = write_queue.take_batch(now); !items.empty();
         items = write_queue.take_batch(now))
    {
        std::vector<std::uint64_t> written;
        auto writes = start_writes(items, written);
        if (!writes.empty())
        {
            table.write(std::move(writes), now + call_timeout,
                        [weak = weak_from_this(), written = std::move(written)](const auto& results)
                        {
                            if (const auto self = weak.lock())
                            {
                                self->on_written(written, results);
                            }
                        });
            return;
        }
        write_queue.finish_batch();
    }
}

void claim_writer::state::on_written(const std::vector<std::uint64_t>& written,
                                     const absl::StatusOr<std::vector<write_result>>& results)
{
    write_queue.finish_batch();
    const bool usable = results.ok() && results->size() == written.size();
    for (std::size_t n = 0; n != written.size(); ++n)
    {
        if (!usable)
        {
            on_call_failed(written[n]);
            continue;
        }
        // The row decides, not `applied`: an earlier write of the same attempt may have been
        // applied.
        const auto& row = results->at(n).current;
        on_row(written[n], row.revision == 0 ? std::nullopt : std::optional{row});
    }
    send_due_writes(last_time());
}

void claim_writer::state::read_row(std::uint64_t id, const std::string& row_key, time_point now)
{
    ++reads_in_flight;
    table.read(row_key, now + call_timeout,
               [weak = weak_from_this(), id](const auto& row)
               {
                   if (const auto self = weak.lock())
                   {
                       self->on_read(id, row);
                   }
               });
}

void claim_writer::state::on_read(std::uint64_t id,
                                  const absl::StatusOr<std::optional<table_row>>& row)
{
    --reads_in_flight;
    if (row.ok())
    {
        on_row(id, *row);
    }
    else
    {
        on_call_failed(id);
    }
}

void claim_writer::state::on_call_failed(std::uint64_t id)
{
    tasks.find(id, [this](claim_task& task) { task.on_call_failed(last_time()); });
}

void claim_writer::state::on_row(std::uint64_t id, const std::optional<table_row>& row)
{
    task_result result;
    std::string row_key;
    tasks.with_shard(id,
                     [&](auto& entries)
                     {
                         const auto it = entries.find(id);
                         if (it == entries.end())
                         {
                             return;
                         }
                         if (row && row->key != it->second.row_key())
                         {
                             // A late copy of an earlier response: it says nothing of this row.
                             it->second.on_call_failed(last_time());
                             return;
                         }
                         result = it->second.on_row(row);
                         row_key = it->second.row_key();
                         if (result.ended)
                         {
                             remove_from_counts(it->second);
                             entries.erase(it);
                         }
                     });
    if (result.acquired)
    {
        held_claims.with_shard(result.acquired->content.attempt,
                               [&](auto& entries)
                               {
                                   if (entries.size() < max_held_per_shard)
                                   {
                                       entries.insert_or_assign(result.acquired->content.attempt,
                                                                *result.acquired);
                                   }
                               });
    }
    if (result.requeue)
    {
        enqueue(id, row_key, last_time());
    }
    if (result.completion)
    {
        result.completion();
    }
}

claim_writer::claim_writer(table_service& table) : state_{std::make_shared<state>(table)} {}

claim_writer::~claim_writer()
{
    state_->close();
}

void claim_writer::claim_key(claim wanted,
                             time_point now,
                             time_point deadline,
                             claim_handler handler)
{
    if (++state_->pending_claims > max_pending_claims)
    {
        --state_->pending_claims;
        handler(make_error(error_kind::store_unavailable, "too many claims are pending"));
        return;
    }
    wanted.state = claim_state::claimed;
    wanted.outcome.reset();
    state_->add(claim_task{std::move(wanted), deadline, std::move(handler)}, now);
}

void claim_writer::settle(claim settled,
                          time_point now,
                          time_point deadline,
                          settle_handler handler)
{
    state_->add_settlement(std::move(settled), now, deadline, std::move(handler));
}

void claim_writer::tick(time_point now)
{
    state_->tick(now);
}

} // namespace mangovane
