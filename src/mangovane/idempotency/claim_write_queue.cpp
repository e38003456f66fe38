// Implementation of the write queue of a claim writer.
#include "mangovane/idempotency/claim_write_queue.hpp"

#include <absl/container/flat_hash_set.h>

namespace mangovane
{

bool claim_write_queue::push(queued_write item)
{
    const std::lock_guard lock{mutex_};
    items_.push_back(item);
    return !in_flight_ && items_.size() >= max_items_;
}

std::vector<queued_write> claim_write_queue::take_batch(time_point now)
{
    const std::lock_guard lock{mutex_};
    std::vector<queued_write> taken;
    const bool due = !items_.empty() &&
                     (items_.size() >= max_items_ || now - items_.front().queued_at >= window_);
    if (in_flight_ || !due)
    {
        return taken;
    }
    absl::flat_hash_set<std::uint64_t> rows;
    std::deque<queued_write> deferred;
    for (; !items_.empty() && taken.size() != max_items_; items_.pop_front())
    {
        const auto& it = items_.front();
        if (rows.insert(it.row).second)
        {
            taken.push_back(it);
        }
        else
        {
            deferred.push_back(it);
        }
    }
    items_.insert(items_.begin(), deferred.begin(), deferred.end());
    in_flight_ = true;
    return taken;
}

void claim_write_queue::finish_batch()
{
    const std::lock_guard lock{mutex_};
    in_flight_ = false;
}

} // namespace mangovane
