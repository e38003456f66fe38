// Load report of an endpoint in JSON.
#ifndef MANGOVANE_NET_LOAD_REPORT_HPP
#define MANGOVANE_NET_LOAD_REPORT_HPP

#include <optional>
#include <string>

#include "mangovane/membership/endpoint.hpp"

namespace mangovane
{

/// Parses the load report of an endpoint; empty if it is malformed. `warm` defaults to true,
/// `leaving` to false.
[[nodiscard]] std::optional<endpoint_report>
parse_load_report(const std::string& text, endpoint_id endpoint, time_point sampled_at);

} // namespace mangovane

#endif
