// Queue of membership updates to gossip, least often sent first.
#ifndef MANGOVANE_MEMBERSHIP_UPDATE_QUEUE_HPP
#define MANGOVANE_MEMBERSHIP_UPDATE_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"

namespace mangovane::internal
{

/// Number of times that one instance sends an update: 3 * log2(members), rounded up. With this
/// count the update reaches every member with high probability (Das et al., SWIM, 2002).
[[nodiscard]] std::uint32_t transmissions_for(std::size_t members) noexcept;

/// Counts the transmissions of each instance's newest update. Not thread-safe.
class update_queue
{
public:
    /// Queues the newest update about an instance; it supersedes an older one.
    void put(instance_id id) { sent_[id] = 0; }

    /// Queues an update that most members already have: it is sent only once.
    void put_once(instance_id id) { sent_.try_emplace(id, send_once_count); }

    void erase(instance_id id) { sent_.erase(id); }

    /// Takes up to `count` instances whose updates were sent least often, and drops those that were
    /// sent `transmissions` times. Ties are broken by `seed`, so that members with equal queues do
    /// not all send the same updates.
    [[nodiscard]] std::vector<instance_id>
    take(std::size_t count, std::uint32_t transmissions, std::uint64_t seed);

    [[nodiscard]] std::size_t size() const noexcept { return sent_.size(); }

private:
    /// Initial count of an update that is sent only once: above every transmission limit.
    static constexpr std::uint32_t send_once_count = 1U << 16U;

    absl::flat_hash_map<instance_id, std::uint32_t> sent_;
};

} // namespace mangovane::internal

#endif
