// Splits a stream of server-sent events into whole events, so that an answer can go on at another
// endpoint after the last event that the caller has.
#ifndef MANGOVANE_NET_SSE_SPLITTER_HPP
#define MANGOVANE_NET_SSE_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangovane
{

class sse_splitter
{
public:
    /// Takes bytes of the stream; returns the whole events among them that the caller lacks.
    [[nodiscard]] std::string parse(std::string_view bytes);

    /// The stream goes on with another endpoint: an event begun is dropped.
    void discard_partial() { pending_.clear(); }

    /// Bytes of an event that has not ended.
    [[nodiscard]] const std::string& partial_event() const noexcept { return pending_; }

    /// Id of the last whole event; nothing before the first that has one.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }

    /// Whether an event is missing between two that came.
    [[nodiscard]] bool broken() const noexcept { return broken_; }

private:
    void take_event(std::string_view event, std::string& out);

    std::string pending_;
    std::optional<std::uint64_t> last_id_; ///< Only rises.
    bool broken_{false};
};

} // namespace mangovane

#endif
