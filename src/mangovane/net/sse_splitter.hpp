// Splits a response stream into complete server-sent events, so that it can be resumed at another
// endpoint after the last event that was sent to the caller.
#ifndef MANGOVANE_NET_SSE_SPLITTER_HPP
#define MANGOVANE_NET_SSE_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangovane
{

/// Event ids, if any, are consecutive numbers. Events whose id was seen before are dropped, because
/// a resumed stream may repeat them.
class sse_splitter
{
public:
    /// Appends bytes of the stream; returns the events that are complete now and not duplicates.
    /// Returns no events after a gap or an oversized event.
    [[nodiscard]] std::string parse(std::string_view bytes);

    /// Drops an incomplete event, and a gap. Call before the bytes of each attempt: its first event
    /// must not be joined to what the last one left, whether it resumes the stream or begins it.
    void begin_attempt();

    /// Id of the last event that was returned; empty before the first event with an id.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }

    /// Whether an event without a readable id was returned. The stream cannot be resumed then: no
    /// id tells the next endpoint where to go on.
    [[nodiscard]] bool has_unnumbered_event() const noexcept { return has_unnumbered_event_; }

    /// Whether an event id was skipped.
    [[nodiscard]] bool has_gap() const noexcept { return has_gap_; }

    /// Whether the incomplete event is longer than `max_event_bytes`. Without this limit an
    /// endpoint that never ends an event would fill the memory of the instance.
    [[nodiscard]] bool is_oversized() const noexcept
    {
        return partial_event_.size() > max_event_bytes;
    }

    /// Bytes of the event that has not ended yet.
    [[nodiscard]] std::size_t unfinished_bytes() const noexcept { return partial_event_.size(); }

    static constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

private:
    void accept_event(std::string_view event, std::string& out);

    std::string partial_event_;
    std::size_t searched_{0};              ///< Bytes of `partial_event_` in which no event ends.
    std::optional<std::uint64_t> last_id_; ///< Never decreases.
    bool has_gap_{false};
    bool has_unnumbered_event_{false}; ///< Never reset.
};

} // namespace mangovane

#endif
