// The order in which a member probes the others.
#ifndef MANGOVANE_MEMBERSHIP_PROBE_SCHEDULE_HPP
#define MANGOVANE_MEMBERSHIP_PROBE_SCHEDULE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "mangovane/core/id.hpp"

namespace mangovane::internal
{

/// Deterministic pseudorandom numbers from a seed.
class random_sequence
{
public:
    explicit random_sequence(std::uint64_t seed) noexcept : seed_{seed} {}

    [[nodiscard]] std::uint64_t next() noexcept { return hash_combine(seed_, ++count_); }

    /// A number in [0, bound). `bound` must not be 0.
    [[nodiscard]] std::size_t below(std::size_t bound) noexcept { return next() % bound; }

    /// Reduces `ids` to a random sample of `count` elements, in random order.
    void sample(std::vector<instance_id>& ids, std::size_t count);

private:
    std::uint64_t seed_;
    std::uint64_t count_{0};
};

/// Visits all members in random order before it visits one again, which bounds the time until a
/// member is probed (SWIM, section 4.3).
class probe_schedule
{
public:
    /// The next member of the round for which `wanted(id)` holds.
    template <class Predicate>
    [[nodiscard]] std::optional<instance_id> next(Predicate wanted)
    {
        while (!round_.empty())
        {
            const auto id = round_.back();
            round_.pop_back();
            if (wanted(id))
            {
                return id;
            }
        }
        return std::nullopt;
    }

    /// Starts a new round.
    void refill(std::vector<instance_id> ids, random_sequence& random);

private:
    std::vector<instance_id> round_;
};

} // namespace mangovane::internal

#endif
