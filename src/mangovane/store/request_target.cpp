// Implementation of the request targets.
#include "mangovane/store/request_target.hpp"

#include <absl/strings/str_cat.h>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace mangovane
{

std::string percent_encode(std::string_view text)
{
    return boost::urls::encode({text.data(), text.size()}, boost::urls::unreserved_chars);
}

std::string request_target(std::string_view path, const std::vector<query_parameter>& parameters)
{
    std::string result{path};
    char separator = '?';
    for (const auto& it : parameters)
    {
        absl::StrAppend(&result, std::string(1, separator), percent_encode(it.name), "=",
                        percent_encode(it.value));
        separator = '&';
    }
    return result;
}

} // namespace mangovane
