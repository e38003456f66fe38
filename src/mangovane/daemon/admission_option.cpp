// Implementation of the option that switches admission on.
#include "mangovane/daemon/admission_option.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <boost/json/parse.hpp>

namespace mangovane
{

namespace
{

/// Word by which a deployment asks for admission.
constexpr std::string_view pressure = "pressure";

bool is_word(const std::string& text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char it)
                       {
                           return absl::ascii_isalnum(static_cast<unsigned char>(it)) ||
                                  it == '-' || it == '_' || it == '.';
                       });
}

std::optional<std::vector<std::string>> json_words(std::string_view text)
{
    boost::system::error_code ec;
    const auto value = boost::json::parse({text.data(), text.size()}, ec);
    if (ec || !value.is_array())
    {
        return std::nullopt;
    }
    std::vector<std::string> result;
    for (const auto& it : value.get_array())
    {
        if (!it.is_string())
        {
            return std::nullopt;
        }
        result.emplace_back(it.get_string().c_str());
    }
    return result;
}

std::optional<std::vector<std::string>> words_of(std::string_view text)
{
    if (text.starts_with('['))
    {
        return json_words(text);
    }
    std::vector<std::string> result;
    for (const auto it : absl::StrSplit(absl::string_view{text.data(), text.size()}, ','))
    {
        result.emplace_back(absl::StripAsciiWhitespace(it));
    }
    return result;
}

} // namespace

std::optional<bool> find_admission(std::string_view text)
{
    if (text == "queue")
    {
        return true;
    }
    const auto words = words_of(text);
    if (!words || !std::all_of(words->begin(), words->end(), is_word))
    {
        return std::nullopt;
    }
    return std::find(words->begin(), words->end(), pressure) != words->end();
}

} // namespace mangovane
