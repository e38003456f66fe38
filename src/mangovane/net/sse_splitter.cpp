// Splits server-sent events at empty lines and checks the sequence of their ids.
#include "mangovane/net/sse_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace mangovane
{

namespace
{

constexpr std::string_view id_field = "id:";
constexpr std::string_view data_field = "data:";
constexpr std::string_view data_line = "\ndata:";

/// An event ends with a line break and an empty line, at most "\n\r\n": the search for it continues
/// this many bytes before the end of the bytes searched last.
constexpr std::size_t max_event_end_bytes = 3;

/// Position after the first event that ends at `from` or later; npos if there is none.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    for (auto line_end = text.find('\n', from); line_end != std::string_view::npos;
         line_end = text.find('\n', line_end + 1))
    {
        const auto rest = text.substr(line_end + 1);
        if (rest.starts_with('\n'))
        {
            return line_end + 2;
        }
        if (rest.starts_with("\r\n"))
        {
            return line_end + 3;
        }
    }
    return std::string_view::npos;
}

/// Whether the event has content; a comment, for instance to keep a connection open, has none.
bool has_data(std::string_view event)
{
    return event.starts_with(data_field) || event.find(data_line) != std::string_view::npos;
}

std::optional<std::uint64_t> id_in(std::string_view event)
{
    while (!event.empty())
    {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(id_field))
        {
            continue;
        }
        line.remove_prefix(id_field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        line.remove_suffix(line.ends_with('\r') ? 1 : 0);
        std::uint64_t id = 0;
        const auto* const line_end = line.data() + line.size();
        const auto [remaining, ec] = std::from_chars(line.data(), line_end, id);
        return ec == std::errc{} && remaining == line_end ? std::optional{id} : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string sse_splitter::parse(std::string_view bytes)
{
    partial_event_.append(bytes);
    const std::string_view text = partial_event_;
    std::string out;
    std::size_t begin = 0;
    // Only new bytes are searched, so that an event in many small pieces takes linear time.
    auto end = end_of_event(text, searched_ - std::min(searched_, max_event_end_bytes));
    while (end != std::string_view::npos)
    {
        accept_event(text.substr(begin, end - begin), out);
        begin = end;
        end = end_of_event(text, begin);
    }
    partial_event_.erase(0, begin);
    searched_ = partial_event_.size();
    return out;
}

void sse_splitter::begin_attempt()
{
    partial_event_.clear();
    searched_ = 0;
    has_gap_ = false;
}

void sse_splitter::accept_event(std::string_view event, std::string& out)
{
    const auto id = id_in(event);
    if (id && last_id_)
    {
        if (*id <= *last_id_)
        {
            return;
        }
        has_gap_ = has_gap_ || *id != *last_id_ + 1;
    }
    if (!has_gap_)
    {
        last_id_ = id ? id : last_id_;
        has_unnumbered_event_ = has_unnumbered_event_ || (!id && has_data(event));
        out.append(event);
    }
}

} // namespace mangovane
