// Builds the targets of HTTP requests from texts that may hold any bytes.
#ifndef MANGOVANE_STORE_REQUEST_TARGET_HPP
#define MANGOVANE_STORE_REQUEST_TARGET_HPP

#include <string>
#include <string_view>
#include <vector>

namespace mangovane
{

/// A parameter of a query, not encoded.
struct query_parameter
{
    std::string_view name;
    std::string value;

    auto operator<=>(const query_parameter&) const = default;
};

/// Percent-encodes all bytes except the unreserved characters of RFC 3986. Servers decode the
/// others differently: some take `+` for a blank.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// The path, which is taken as it is, with a query of the parameters.
[[nodiscard]] std::string request_target(std::string_view path,
                                         const std::vector<query_parameter>& parameters);

} // namespace mangovane

#endif
