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
    /// Appends bytes of the stream; returns whether an event ends in them.
    bool add(std::string_view bytes)
    {
        const bool ended = ends_event_after(end_ + std::string{bytes}, end_.size());
        end_.append(bytes.substr(bytes.size() - std::min(bytes.size(), max_end_bytes)));
        end_.erase(0, end_.size() - std::min(end_.size(), max_end_bytes));
        return ended;
    }

    /// Whether the last event is incomplete: the stream does not end with an empty line.
    [[nodiscard]] bool inside_event() const noexcept
    {
        return !end_.empty() && !end_.ends_with("\n\n") && !end_.ends_with("\n\r\n");
    }

private:
    /// Whether an event ends in the text after its first `begin` bytes.
    [[nodiscard]] static bool ends_event_after(std::string_view text, std::size_t begin) noexcept
    {
        for (const std::string_view end : {"\n\n", "\n\r\n"})
        {
            const auto from = begin - std::min(begin, end.size() - 1);
            if (text.find(end, from) != std::string_view::npos)
            {
                return true;
            }
        }
        return false;
    }

    /// Length of the longest end of an event, "\n\r\n".
    static constexpr std::size_t max_end_bytes = 3;

    std::string end_; ///< The last bytes; at most `max_end_bytes`.
};

} // namespace mangovane

#endif
