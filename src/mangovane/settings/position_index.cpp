// Implementation of the position index: a single pass over a text that is valid JSON.
#include "mangovane/settings/position_index.hpp"

#include <utility>

namespace mangovane
{

namespace
{

constexpr char separator = '\x1f';

} // namespace

json_path json_path::operator/(std::string_view key) const
{
    json_path result{*this};
    result.text_ += separator;
    result.text_ += key;
    return result;
}

json_path json_path::operator/(std::size_t index) const
{
    return *this / std::string_view{std::to_string(index)};
}

json_path json_path::parent() const
{
    json_path result;
    const auto n = text_.rfind(separator);
    result.text_ = n == std::string::npos ? std::string{} : text_.substr(0, n);
    return result;
}

position_index::position_index(std::string_view text) : text_{text}
{
    scan_value(json_path{});
    text_ = {};
}

const text_span* position_index::find(const json_path& path) const
{
    const auto it = spans_.find(path.text());
    return it == spans_.end() ? nullptr : &it->second;
}

std::uint32_t position_index::line_of(json_path path) const
{
    while (find(path) == nullptr && !path.text().empty())
    {
        path = path.parent();
    }
    const auto* span = find(path);
    return span == nullptr ? 1 : span->line;
}

void position_index::scan_value(const json_path& path)
{
    skip_space();
    text_span span{at_, at_, line_};
    switch (peek())
    {
    case '{':
        scan_object(path);
        break;
    case '[':
        scan_array(path);
        break;
    case '"':
        (void)scan_string();
        break;
    default:
        skip_scalar();
        break;
    }
    span.end = at_;
    if (!spans_.insert_or_assign(path.text(), span).second)
    {
        duplicates_.push_back(path);
    }
    skip_space();
}

void position_index::scan_object(const json_path& path)
{
    ++at_;
    skip_space();
    while (peek() == '"')
    {
        const auto key = scan_string();
        skip_space();
        ++at_; // Skips the colon.
        scan_value(path / key);
        if (peek() == ',')
        {
            ++at_;
            skip_space();
        }
    }
    ++at_;
}

void position_index::scan_array(const json_path& path)
{
    ++at_;
    skip_space();
    for (std::size_t n = 0; peek() != ']' && at_ < text_.size(); ++n)
    {
        scan_value(path / n);
        if (peek() == ',')
        {
            ++at_;
        }
    }
    ++at_;
}

void position_index::skip_space()
{
    while (peek() == ' ' || peek() == '\t' || peek() == '\r' || peek() == '\n')
    {
        line_ += peek() == '\n' ? 1 : 0;
        ++at_;
    }
}

void position_index::skip_scalar()
{
    constexpr std::string_view ends = ",]} \t\r\n";
    while (at_ < text_.size() && ends.find(peek()) == std::string_view::npos)
    {
        ++at_;
    }
}

std::string_view position_index::scan_string()
{
    const auto begin = ++at_;
    while (at_ < text_.size() && peek() != '"')
    {
        at_ += peek() == '\\' ? 2 : 1;
    }
    const auto result = text_.substr(begin, at_ - begin);
    ++at_;
    return result;
}

} // namespace mangovane
