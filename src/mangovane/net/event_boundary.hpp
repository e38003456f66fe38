// Tells whether a stream of server-sent events is between two events.
#ifndef MANGOVANE_NET_EVENT_BOUNDARY_HPP
#define MANGOVANE_NET_EVENT_BOUNDARY_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace mangovane
{

/// A stream without a length may end with its connection. One that ends inside an event has broken
/// off.
class event_boundary
{
public:
    /// Appends bytes of the stream.
    void add(std::string_view bytes)
    {
        has_event_ = has_event_ || ends_event_in(end_ + std::string{bytes});
        end_.append(bytes.substr(bytes.size() - std::min(bytes.size(), max_end_bytes)));
        end_.erase(0, end_.size() - std::min(end_.size(), max_end_bytes));
    }

    /// Whether the last event is incomplete: the stream does not end with an empty line.
    [[nodiscard]] bool inside_event() const noexcept
    {
        return !end_.empty() && !end_.ends_with("\n\n") && !end_.ends_with("\n\r\n");
    }

    /// Whether at least one whole event has arrived.
    [[nodiscard]] bool has_event() const noexcept { return has_event_; }

private:
    [[nodiscard]] static bool ends_event_in(std::string_view text) noexcept
    {
        return text.find("\n\n") != std::string_view::npos ||
               text.find("\n\r\n") != std::string_view::npos;
    }

    /// Length of the longest end of an event, "\n\r\n".
    static constexpr std::size_t max_end_bytes = 3;

    bool has_event_{false};
    std::string end_; ///< The last bytes; at most `max_end_bytes`.
};

} // namespace mangovane

#endif
