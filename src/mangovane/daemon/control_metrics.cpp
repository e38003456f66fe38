// Implementation of the metrics of control traffic.
#include "mangovane/daemon/control_metrics.hpp"

#include <absl/strings/str_cat.h>

namespace mangovane
{

std::string traffic_metrics(const peer_traffic& peers, std::uint64_t poll_bytes)
{
    std::string out;
    absl::StrAppend(&out, "mangovane_control_bytes_total{direction=\"sent\"} ", peers.bytes_sent,
                    "\n");
    absl::StrAppend(&out, "mangovane_control_bytes_total{direction=\"received\"} ",
                    peers.bytes_received, "\n");
    absl::StrAppend(&out, "mangovane_poll_bytes_total ", poll_bytes, "\n");
    absl::StrAppend(&out, "mangovane_messages_dropped_total ", peers.messages_dropped, "\n");
    absl::StrAppend(&out, "mangovane_connections_refused_total ", peers.connections_refused, "\n");
    return out;
}

std::string settings_age_metric(std::optional<milliseconds> age)
{
    return absl::StrCat("mangovane_settings_age_seconds ",
                        age ? static_cast<double>(age->count()) / 1000.0 : -1.0, "\n");
}

std::string failed_tasks_metric(std::uint64_t failures)
{
    return absl::StrCat("mangovane_failed_tasks_total ", failures, "\n");
}

} // namespace mangovane
