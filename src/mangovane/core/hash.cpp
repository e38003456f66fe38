// Implementation of hashing and rendezvous ordering.
#include "mangovane/core/hash.hpp"

#include <algorithm>
#include <numeric>

#include <xxhash.h>

namespace mangovane
{

std::uint64_t hash_bytes(std::string_view bytes) noexcept
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::size_t rendezvous_owner(std::uint64_t key, std::span<const std::uint64_t> nodes) noexcept
{
    std::size_t best = nodes.size();
    std::uint64_t best_score = 0;
    for (std::size_t n = 0; n != nodes.size(); ++n)
    {
        const auto score = rendezvous_score(key, nodes[n]);
        if (best == nodes.size() || score > best_score)
        {
            best = n;
            best_score = score;
        }
    }
    return best;
}

std::vector<std::size_t>
rendezvous_order(std::uint64_t key, std::span<const std::uint64_t> nodes, std::size_t count)
{
    std::vector<std::uint64_t> scores;
    scores.reserve(nodes.size());
    for (const auto node : nodes)
    {
        scores.push_back(rendezvous_score(key, node));
    }
    std::vector<std::size_t> order(nodes.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto n = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end(),
                      [&](std::size_t lhs, std::size_t rhs) { return scores[lhs] > scores[rhs]; });
    order.resize(n);
    return order;
}

} // namespace mangovane
