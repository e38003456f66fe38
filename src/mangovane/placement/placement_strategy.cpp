// The production placement strategy.
#include "mangovane/placement/placement_strategy.hpp"

#include <algorithm>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

namespace
{

bool is_candidate(std::span<const candidate> candidates, endpoint_id id)
{
    const auto it =
        std::lower_bound(candidates.begin(), candidates.end(), id,
                         [](const candidate& lhs, endpoint_id rhs) { return lhs.endpoint < rhs; });
    return it != candidates.end() && it->endpoint == id;
}

/// Samples distinct endpoints at random, without copying the candidates.
std::vector<endpoint_id>
sample_endpoints(std::span<const candidate> candidates, std::size_t count, std::uint64_t seed)
{
    std::vector<endpoint_id> result;
    const auto wanted = std::min(count, candidates.size());
    result.reserve(wanted);
    for (std::uint64_t n = 0; result.size() != wanted; ++n)
    {
        const auto id = candidates[hash_combine(seed, n) % candidates.size()].endpoint;
        if (std::find(result.begin(), result.end(), id) == result.end())
        {
            result.push_back(id);
        }
    }
    return result;
}

class last_two_strategy final : public placement_strategy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "last_two"; }

    [[nodiscard]] placement_plan plan(const placement_query& query) const override
    {
        placement_plan result;
        for (const auto id : query.locations.endpoints)
        {
            if (!id.empty() && is_candidate(query.candidates, id))
            {
                result.warm.push_back(id);
            }
        }
        result.sample = sample_endpoints(query.candidates, query.sample_size, query.seed);
        return result;
    }
};

} // namespace

std::unique_ptr<placement_strategy> make_last_two_strategy()
{
    return std::make_unique<last_two_strategy>();
}

} // namespace mangovane
