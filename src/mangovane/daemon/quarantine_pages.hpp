// Shows operators which prompt parts are quarantined, and lets them lift that.
#ifndef MANGOVANE_DAEMON_QUARANTINE_PAGES_HPP
#define MANGOVANE_DAEMON_QUARANTINE_PAGES_HPP

#include <optional>
#include <string>

#include "mangovane/net/monitoring_server.hpp"
#include "mangovane/observe/event_log.hpp"
#include "mangovane/quarantine/prompt_quarantine.hpp"

namespace mangovane
{

/// `GET /quarantine` lists the refused parts with the age of the evidence in ms;
/// `POST /quarantine/lift/PART` (hexadecimal) ends the quarantine of a part. Empty for other paths.
[[nodiscard]] std::optional<monitoring_response>
quarantine_page(prompt_quarantine& quarantine, const monitoring_request& req, time_point now);

/// Writes the changes since the last call to the log.
void log_quarantine_changes(prompt_quarantine& quarantine, event_log& log, time_point now);

} // namespace mangovane

#endif
