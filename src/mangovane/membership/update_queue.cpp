// Implementation of the update queue.
#include "mangovane/membership/update_queue.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace mangovane::internal
{

std::uint32_t transmissions_for(std::size_t members) noexcept
{
    constexpr std::uint32_t factor = 3;
    return factor * static_cast<std::uint32_t>(std::bit_width(members));
}

std::vector<instance_id>
update_queue::take(std::size_t count, std::uint32_t transmissions, std::uint64_t seed)
{
    struct candidate
    {
        std::uint32_t sent;
        std::uint64_t tie;
        instance_id id;

        auto operator<=>(const candidate&) const = default;
    };
    std::vector<candidate> candidates;
    candidates.reserve(sent_.size());
    for (const auto& [id, sent] : sent_)
    {
        candidates.push_back({sent, hash_combine(seed, id.value()), id});
    }
    const auto n = std::min(count, candidates.size());
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(candidates.begin(), end, candidates.end());
    std::vector<instance_id> result;
    for (auto it = candidates.begin(); it != end; ++it)
    {
        result.push_back(it->id);
        if (++sent_[it->id] >= transmissions)
        {
            sent_.erase(it->id);
        }
    }
    return result;
}

} // namespace mangovane::internal
