// Implementation of the metrics of a forwarding router.
#include "mangovane/daemon/forward_metrics.hpp"

#include <absl/strings/str_cat.h>

namespace mangovane
{

std::string forward_metrics(const forward_state& state)
{
    return absl::StrCat("mangovane_settings_version ", state.settings_version,
                        "\nmangovane_quarantined_parts ", state.quarantined_parts,
                        "\nmangovane_peer_bytes_sent_total ", state.peer_bytes_sent,
                        "\nmangovane_peer_bytes_received_total ", state.peer_bytes_received,
                        "\nmangovane_log_lines_dropped_total ", state.log_lines_dropped,
                        "\nmangovane_store_era_total ", state.store_era, "\n");
}

} // namespace mangovane
