// Parses JSON of a store that passes on the texts of other writers, whatever they hold.
#ifndef MANGOVANE_STORE_LENIENT_JSON_HPP
#define MANGOVANE_STORE_LENIENT_JSON_HPP

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace mangovane
{

/// Replaces each escape of an unpaired surrogate, which no text can hold, by one of U+FFFD.
[[nodiscard]] std::string replace_unpaired_surrogates(std::string text);

/// Whether the text holds U+FFFD, which stands for characters that could not be passed on.
[[nodiscard]] bool has_replaced_characters(std::string_view text);

/// Parses JSON. A string that is not valid Unicode does not make the other values unreadable: its
/// bytes are kept, and its unpaired surrogates become U+FFFD. Nothing if the text is not JSON.
[[nodiscard]] std::optional<boost::json::value> parse_lenient_json(std::string_view text);

} // namespace mangovane

#endif
