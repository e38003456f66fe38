// 64-bit hashing and rendezvous ordering. All instances compute the same values.
#ifndef MANGOVANE_CORE_HASH_HPP
#define MANGOVANE_CORE_HASH_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace mangovane
{

/// Hash of a byte string (XXH3, 64 bits, seed 0).
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes) noexcept;

/// Combines two hashes; the order of the arguments matters.
[[nodiscard]] constexpr std::uint64_t hash_combine(std::uint64_t lhs, std::uint64_t rhs) noexcept
{
    // SplitMix64 finaliser over the sum: full avalanche in a few cycles.
    std::uint64_t value = lhs * 0x9e3779b97f4a7c15ULL + rhs;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Score of a node for a key in rendezvous hashing; the highest score owns the key.
[[nodiscard]] constexpr std::uint64_t rendezvous_score(std::uint64_t key,
                                                       std::uint64_t node) noexcept
{
    return hash_combine(hash_combine(key, 0x6d616e676fULL), node);
}

/// Index of the node that owns the key; `nodes.size()` if there are no nodes.
[[nodiscard]] std::size_t rendezvous_owner(std::uint64_t key,
                                           std::span<const std::uint64_t> nodes) noexcept;

/// Indexes of the first `count` nodes in rendezvous order of the key, best first.
[[nodiscard]] std::vector<std::size_t>
rendezvous_order(std::uint64_t key, std::span<const std::uint64_t> nodes, std::size_t count);

} // namespace mangovane

#endif
