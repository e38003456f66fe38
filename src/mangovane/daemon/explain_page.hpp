// Tells operators where a request would go now, and why.
#ifndef MANGOVANE_DAEMON_EXPLAIN_PAGE_HPP
#define MANGOVANE_DAEMON_EXPLAIN_PAGE_HPP

#include <optional>

#include "mangovane/forward/forward_core.hpp"
#include "mangovane/net/monitoring_server.hpp"

namespace mangovane
{

/// `GET /explain?host=H&path=P&account=A&urgency=U&prompt=ID:TOKENS,...&tokens=IN,OUT&request=ID`
/// explains the choice for such a request as JSON; all but the host and the path may be absent. 400
/// for a parameter that is missing or wrong, 404 if no route matches, 503 before the first
/// settings. Empty for other paths.
[[nodiscard]] std::optional<monitoring_response>
explain_page(forward_core& core, const monitoring_request& req, time_point now);

} // namespace mangovane

#endif
