// Splits server-sent events at empty lines and checks the sequence of their ids.
#include "mangovane/net/sse_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace mangovane
{

namespace
{

constexpr std::string_view lf_event_end = "\n\n";
constexpr std::string_view crlf_event_end = "\r\n\r\n";
constexpr std::string_view id_field = "id:";

/// Position after the first event of the text; npos if the event is incomplete.
std::size_t end_of_event(std::string_view text)
{
    const auto lf = text.find(lf_event_end);
    const auto crlf = text.find(crlf_event_end);
    const auto after_lf = lf == std::string_view::npos ? lf : lf + lf_event_end.size();
    const auto after_crlf = crlf == std::string_view::npos ? crlf : crlf + crlf_event_end.size();
    return std::min(after_lf, after_crlf);
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
        std::uint64_t id = 0;
        const auto [remaining, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
        return ec == std::errc{} ? std::optional{id} : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string sse_splitter::parse(std::string_view bytes)
{
    partial_event_.append(bytes);
    std::string out;
    std::string_view remaining = partial_event_;
    for (auto end = end_of_event(remaining); end != std::string_view::npos;
         end = end_of_event(remaining))
    {
        accept_event(remaining.substr(0, end), out);
        remaining.remove_prefix(end);
    }
    partial_event_.erase(0, partial_event_.size() - remaining.size());
    return out;
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
    last_id_ = id ? id : last_id_;
    if (!has_gap_)
    {
        out.append(event);
    }
}

} // namespace mangovane
