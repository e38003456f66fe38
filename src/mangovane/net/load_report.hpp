// The load report of an endpoint, read from its JSON text.
#ifndef MANGOVANE_NET_LOAD_REPORT_HPP
#define MANGOVANE_NET_LOAD_REPORT_HPP

#include <optional>
#include <string>

#include "mangovane/membership/endpoint.hpp"

namespace mangovane
{

/// Reads the text of a load report; nothing when it is malformed.
[[nodiscard]] std::optional<endpoint_report>
parse_load_report(const std::string& text, endpoint_id endpoint, time_point sampled_at);

} // namespace mangovane

#endif
