// Message about prompt parts that are suspected of crashing the endpoints that process them.
#ifndef MANGOVANE_MESSAGE_QUARANTINE_HPP
#define MANGOVANE_MESSAGE_QUARANTINE_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// An endpoint crashed before it had survived a request with the part.
struct crash_evidence
{
    std::uint64_t part{0};
    std::uint64_t crash{0}; ///< Hash of the process that crashed; all instances compute the same.
    time_point at{};        ///< Of the crash, as far as the sender knows.
    time_point keep_until{};
    /// Endpoints had survived requests with the part shortly before, so it is less suspect.
    bool answered_before{false};
    std::uint8_t depth{0}; ///< Position of the part in the prompt, from 0.

    auto operator<=>(const crash_evidence&) const = default;
};

/// An endpoint has survived a request with the part: earlier evidence against it is void.
struct part_answer
{
    std::uint64_t part{0};
    time_point at{};

    auto operator<=>(const part_answer&) const = default;
};

/// Any instance to any other. Merging is commutative and idempotent, so an update may arrive late,
/// repeatedly or out of order.
struct quarantine_update
{
    std::vector<crash_evidence> crashes; ///< At most `max_update_crashes`.
    std::vector<part_answer> answers;    ///< At most `max_update_answers`.
    /// A part of the sender's whole state: the receiver responds with the answers that it lacks.
    bool is_summary{false};

    [[nodiscard]] bool empty() const noexcept { return crashes.empty() && answers.empty(); }

    bool operator==(const quarantine_update&) const = default;
};

inline constexpr std::size_t max_update_crashes = 256;
inline constexpr std::size_t max_update_answers = 256;

} // namespace mangovane

#endif
