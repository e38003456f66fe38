// The evidence for and against one prompt part, and the verdict that follows from it.
#ifndef MANGOVANE_QUARANTINE_PART_RECORD_HPP
#define MANGOVANE_QUARANTINE_PART_RECORD_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "mangovane/core/time.hpp"
#include "mangovane/message/quarantine.hpp"

namespace mangovane
{

/// Why requests with a part are refused.
struct part_verdict
{
    std::uint64_t part{0};
    std::uint32_t crashes{0}; ///< Crashes that count against it.
    time_point first_crash{};
    time_point last_crash{};

    auto operator<=>(const part_verdict&) const = default;
};

/// Crashes under a part, less those before the last answer to a request with it. The state is the
/// same in whatever order, and however often, evidence and answers arrive.
class part_record
{
public:
    explicit part_record(std::uint64_t part) : part_{part} {}

    /// Adds evidence; returns whether it is new and counts against the part.
    bool add(const crash_evidence& evidence);

    /// An endpoint survived a request with the part; returns whether this voids evidence.
    bool on_answer(time_point at);

    /// Extends the lifetime of the record.
    void keep(time_point until) noexcept { keep_until_ = std::max(keep_until_, until); }

    /// Why requests with the part are refused; empty while they are not.
    [[nodiscard]] std::optional<part_verdict> verdict() const;

    /// Whether another crash than the given one counts against the part.
    [[nodiscard]] bool is_suspected_besides(std::uint64_t crash) const;

    /// Whether this part explains all crashes that count against the other one, so that those say
    /// nothing about the other: it was present at the same crashes and at more, or at the same ones
    /// and deeper in the prompt, where fewer requests share it.
    [[nodiscard]] bool explains(const part_record& other) const;

    /// Evidence that counts, for other instances; empty when there is none.
    [[nodiscard]] std::vector<crash_evidence> evidence() const;

    /// Records that all instances have been told of an answer at `at`.
    void on_announced(time_point at) noexcept { announced_at_ = std::max(announced_at_, at); }

    /// The newest answer that all instances have been told of.
    [[nodiscard]] time_point announced_at() const noexcept { return announced_at_; }

    [[nodiscard]] std::uint64_t part() const noexcept { return part_; }
    [[nodiscard]] time_point answered_at() const noexcept { return answered_at_; }
    [[nodiscard]] time_point keep_until() const noexcept { return keep_until_; }
    [[nodiscard]] bool expired(time_point now) const noexcept { return now >= keep_until_; }

    auto operator<=>(const part_record&) const = default;

    /// Crashes at different moments from which a part is refused that was not answered shortly
    /// before the first of them.
    static constexpr std::uint32_t crash_limit = 3;

    /// The same for a part that was answered shortly before.
    static constexpr std::uint32_t crash_limit_answered_before = 5;

    /// Crashes within this time of each other count once: endpoints that lose power together say
    /// nothing about the requests that they all held.
    static constexpr milliseconds same_moment{100};

    /// More crashes than this add nothing to the verdict; the oldest are dropped.
    static constexpr std::size_t max_crashes = 16;

private:
    struct crash
    {
        time_point at;
        std::uint64_t id;
        bool answered_before;
        std::uint8_t depth;

        auto operator<=>(const crash&) const = default;
    };

    [[nodiscard]] std::uint32_t count_moments(bool only_unanswered) const;
    [[nodiscard]] bool has_crash(std::uint64_t id) const;
    [[nodiscard]] std::uint8_t depth() const;

    std::uint64_t part_{0};
    /// After `answered_at_`, distinct ids, ordered by time; at most `max_crashes`.
    std::vector<crash> crashes_;
    time_point answered_at_{time_point::min()};  ///< Never decreases.
    time_point announced_at_{time_point::min()}; ///< Never decreases.
    time_point keep_until_{time_point::min()};   ///< Never decreases.
};

} // namespace mangovane

#endif
