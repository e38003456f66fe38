// Implementation of the metrics of a forwarding router.
#include "mangovane/daemon/forward_metrics.hpp"

#include <array>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/string_view.h>

namespace mangovane
{

namespace
{

constexpr std::array<std::pair<absl::string_view, std::uint64_t response_counts::*>, 3> results{
    {{"good", &response_counts::good},
     {"failed", &response_counts::failed},
     {"slow", &response_counts::slow}}};

constexpr std::array<std::pair<absl::string_view, response_counts rollout_summary::*>, 2> sides{
    {{"old", &rollout_summary::current}, {"new", &rollout_summary::ordered}}};

/// Operators choose the names; the exposition format requires these replacements.
std::string label_text(const std::string& value)
{
    return absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

void add_states(std::string& out, absl::string_view labels, rollout_state state)
{
    for (std::size_t n = 0; n != rollout_state_names.size(); ++n)
    {
        absl::StrAppend(&out, "mangovane_rollout_state{", labels, ",state=\"",
                        std::string{rollout_state_names[n]}, "\"} ",
                        n == static_cast<std::size_t>(state) ? 1 : 0, "\n");
    }
}

void add_responses(std::string& out, absl::string_view labels, const rollout_summary& rollout)
{
    for (const auto& [side, counts] : sides)
    {
        for (const auto& [result, count] : results)
        {
            absl::StrAppend(&out, "mangovane_rollout_responses_total{", labels, ",side=\"", side,
                            "\",result=\"", result, "\"} ", (rollout.*counts).*count, "\n");
        }
    }
}

} // namespace

std::string forward_metrics(const forward_state& state)
{
    return absl::StrCat("mangovane_settings_version ", state.settings_version,
                        "\nmangovane_quarantined_parts ", state.quarantined_parts,
                        "\nmangovane_peer_bytes_sent_total ", state.peer_bytes_sent,
                        "\nmangovane_peer_bytes_received_total ", state.peer_bytes_received,
                        "\nmangovane_log_lines_dropped_total ", state.log_lines_dropped,
                        "\nmangovane_store_era_total ", state.store_era, "\n");
}

std::string rollout_metrics(const std::vector<rollout_summary>& rollouts)
{
    std::string out;
    for (const auto& it : rollouts)
    {
        const auto labels = absl::StrCat("service=\"", label_text(it.order.service_name),
                                         "\",to=\"", label_text(it.order.version), "\"");
        absl::StrAppend(&out, "mangovane_rollout_share{", labels, "} ", it.share, "\n");
        add_states(out, labels, it.state);
        add_responses(out, labels, it);
    }
    return out;
}

} // namespace mangovane
