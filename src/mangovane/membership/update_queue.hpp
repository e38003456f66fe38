// Facts that this instance still has to spread, least often sent first.
#ifndef MANGOVANE_MEMBERSHIP_UPDATE_QUEUE_HPP
#define MANGOVANE_MEMBERSHIP_UPDATE_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"

namespace mangovane::internal
{

/// Times that an update is sent by one instance: 3 * log2(members), rounded up. With this count
/// an epidemic reaches every member with high probability (Das et al., SWIM, 2002).
[[nodiscard]] std::uint32_t transmissions_for(std::size_t members) noexcept;

class update_queue
{
public:
    /// Queues the newest fact about an instance; an older one is superseded.
    void put(instance_id id) { sent_[id] = 0; }

    /// Queues a fact that most members know already: it is sent once.
    void put_once(instance_id id) { sent_.try_emplace(id, last_transmission); }

    void erase(instance_id id) { sent_.erase(id); }

    /// Takes up to `count` instances whose facts were sent least often. Ties are broken by `seed`,
    /// so that members with equal queues do not all send the same facts.
    [[nodiscard]] std::vector<instance_id>
    take(std::size_t count, std::uint32_t transmissions, std::uint64_t seed);

    [[nodiscard]] std::size_t size() const noexcept { return sent_.size(); }

private:
    static constexpr std::uint32_t last_transmission = 1U << 16U;

    absl::flat_hash_map<instance_id, std::uint32_t> sent_;
};

} // namespace mangovane::internal

#endif
