// Implementation of the lenient parser of JSON.
#include "mangovane/store/lenient_json.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <system_error>

#include <boost/json/parse.hpp>

namespace mangovane
{

namespace json = boost::json;

namespace
{

constexpr std::size_t escape_size = 6; ///< Of `\u` and four digits.
constexpr std::string_view replacement_escape = "\\ufffd";
constexpr std::string_view replacement_character = "\xef\xbf\xbd";

/// UTF-16 code unit of an escape that begins at `at`; nothing if there is none.
std::optional<std::uint16_t> code_unit_at(std::string_view text, std::size_t at)
{
    const auto escape = text.substr(std::min(at, text.size()), escape_size);
    if (escape.size() != escape_size || !escape.starts_with("\\u"))
    {
        return std::nullopt;
    }
    std::uint16_t result = 0;
    const auto* const end = escape.data() + escape.size();
    const auto [last, ec] = std::from_chars(escape.data() + 2, end, result, 16);
    return ec == std::errc{} && last == end ? std::optional{result} : std::nullopt;
}

bool is_leading_surrogate(std::uint16_t unit)
{
    return unit >= 0xd800 && unit <= 0xdbff;
}

bool is_trailing_surrogate(std::uint16_t unit)
{
    return unit >= 0xdc00 && unit <= 0xdfff;
}

json::parse_options lenient_options()
{
    json::parse_options result;
    result.allow_invalid_utf8 = true;
    return result;
}

} // namespace

std::string replace_unpaired_surrogates(std::string text)
{
    for (auto at = text.find('\\'); at != std::string::npos; at = text.find('\\', at))
    {
        const auto unit = code_unit_at(text, at);
        if (!unit)
        {
            at += 2; // Another escape, of one character.
            continue;
        }
        const auto next = code_unit_at(text, at + escape_size);
        if (is_leading_surrogate(*unit) && next && is_trailing_surrogate(*next))
        {
            at += 2 * escape_size;
            continue;
        }
        if (is_leading_surrogate(*unit) || is_trailing_surrogate(*unit))
        {
            text.replace(at, escape_size, replacement_escape);
        }
        at += escape_size;
    }
    return text;
}

bool has_replaced_characters(std::string_view text)
{
    return text.find(replacement_character) != std::string_view::npos;
}

std::optional<json::value> parse_lenient_json(std::string_view text)
{
    boost::system::error_code ec;
    auto result = json::parse({text.data(), text.size()}, ec);
    if (ec)
    {
        result =
            json::parse(replace_unpaired_surrogates(std::string{text}), ec, {}, lenient_options());
    }
    return ec ? std::nullopt : std::optional{std::move(result)};
}

} // namespace mangovane
