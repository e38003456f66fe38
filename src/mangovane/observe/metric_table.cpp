// Implementation of the metric table.
#include "mangovane/observe/metric_table.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace mangovane
{

namespace
{

constexpr auto counter = metric_type::counter;
constexpr auto gauge = metric_type::gauge;
constexpr auto histogram = metric_type::histogram;

constexpr auto table = std::to_array<metric_family>({
    {"mangovane_requests_total", counter, "Ended requests by outcome."},
    {"mangovane_early_refusals_total", counter, "Requests refused before routing, by error kind."},
    {"mangovane_dropped_answers_total", counter, "Late or crossed answers that were dropped."},
    {"mangovane_failed_attempts_total", counter,
     "Attempts of the forwarding router that delivered no response, by result."},
    {"mangovane_caller_stalls_total", counter,
     "Callers of the forwarding router that accepted no more data."},
    {"mangovane_session_ends_total", counter,
     "Connections of callers of the forwarding router that have ended, by reason."},
    {"mangovane_failed_tasks_total", counter, "Tasks of the process that an exception has ended."},
    {"mangovane_affinity_requests_total", counter,
     "Requests with an affinity token that were sent to an endpoint."},
    {"mangovane_affinity_kept_total", counter,
     "Of these, requests whose last attempt went to the first endpoint of the token."},
    {"mangovane_request_seconds", histogram, "Time from acceptance to the end of the answer."},
    {"mangovane_queue_wait_seconds", histogram,
     "Time from acceptance to the dispatch of the last attempt."},
    {"mangovane_first_token_seconds", histogram,
     "Time from acceptance to the first byte of the answer."},
    {"mangovane_accepted_total", counter, "Requests given to routing."},
    {"mangovane_attempts_total", counter, "Attempts sent to endpoints."},
    {"mangovane_retries_total", counter, "Retries that the budget allowed."},
    {"mangovane_retries_refused_total", counter, "Retries refused because the budget was empty."},
    {"mangovane_stale_grants_total", counter, "Slots granted too late and given back."},
    {"mangovane_local_slots_total", counter, "Slots used without the owner."},
    {"mangovane_running_requests", gauge, "Requests accepted and not ended."},
    {"mangovane_quarantined_parts", gauge,
     "Prompt parts whose requests the forwarding router refuses, because they crash endpoints."},
    {"mangovane_rollout_share", gauge,
     "Share of a service's requests that the instance sends to the ordered version."},
    {"mangovane_rollout_state", gauge, "1 for the state of a service's rollout, otherwise 0."},
    {"mangovane_rollout_responses_total", counter,
     "Responses since the order at all instances, as far as the instance knows; slow ones are also "
     "good."},
    {"mangovane_admission_waiting", gauge,
     "Requests of the forwarding router that wait for their service to have room."},
    {"mangovane_admission_waits_total", counter,
     "Requests of the forwarding router that had to wait for their service to have room."},
    {"mangovane_admission_refusals_total", counter,
     "Requests that the forwarding router refused for lack of room, by reason."},
    {"mangovane_admission_wait_seconds", histogram,
     "Time for which requests waited for room, whatever the end."},
    {"mangovane_owned_endpoints", gauge, "Endpoints whose ledgers the instance owns."},
    {"mangovane_owned_in_flight", gauge, "Slots in flight at owned endpoints."},
    {"mangovane_owned_in_flight_largest", gauge, "Most slots in flight at one owned endpoint."},
    {"mangovane_owned_queued", gauge, "Requests that wait for owned endpoints."},
    {"mangovane_owned_orphaned_slots", gauge, "Slots at owned endpoints whose lease expired."},
    {"mangovane_owned_cold", gauge, "Owned endpoints under a ramp."},
    {"mangovane_owned_rebuilding", gauge, "Owned endpoints whose ledgers are being rebuilt."},
    {"mangovane_chats_remembered", gauge, "Entries of the chat directory."},
    {"mangovane_view_members", gauge, "Instances in the view."},
    {"mangovane_settings_version", gauge, "Version of the settings in force; 0: none."},
    {"mangovane_store_era_total", counter,
     "Times that the store has come back from an older copy, as far as the instance knows."},
    {"mangovane_settings_age_seconds", gauge,
     "Time since the last read of the settings' head at the platform; -1: none."},
    {"mangovane_peer_bytes_sent_total", counter,
     "Bytes that the forwarding router sent to other instances."},
    {"mangovane_peer_bytes_received_total", counter,
     "Bytes that the forwarding router received from other instances."},
    {"mangovane_log_lines_dropped_total", counter,
     "Lines that the forwarding router left out of its log."},
    {"mangovane_control_bytes_total", counter, "Bytes between instances by direction."},
    {"mangovane_poll_bytes_total", counter, "Bytes of polls of owned endpoints."},
    {"mangovane_messages_dropped_total", counter, "Messages to other instances not sent."},
    {"mangovane_connections_refused_total", counter, "Connections of other instances closed."},
});

constexpr std::array<std::string_view, 3> type_names{"counter", "gauge", "histogram"};
constexpr std::array<std::string_view, 3> histogram_suffixes{"_bucket", "_sum", "_count"};

bool is_sample_of(std::string_view name, const metric_family& family) noexcept
{
    if (family.type != histogram)
    {
        return name == family.name;
    }
    return name.starts_with(family.name) &&
           std::find(histogram_suffixes.begin(), histogram_suffixes.end(),
                     name.substr(family.name.size())) != histogram_suffixes.end();
}

std::string header_of(const metric_family& family)
{
    const std::string name{family.name};
    const std::string type{type_names[static_cast<std::size_t>(family.type)]};
    return "# HELP " + name + " " + std::string{family.help} + "\n# TYPE " + name + " " + type +
           "\n";
}

} // namespace

std::span<const metric_family> metric_families() noexcept
{
    return table;
}

const metric_family* find_metric(std::string_view line) noexcept
{
    const auto name = line.substr(0, line.find_first_of("{ "));
    const auto it = std::find_if(table.begin(), table.end(),
                                 [&](const auto& row) { return is_sample_of(name, row); });
    return it == table.end() ? nullptr : &*it;
}

std::string describe_metrics(std::string_view samples)
{
    std::vector<std::string> lines(table.size());
    while (!samples.empty())
    {
        const auto line = samples.substr(0, samples.find('\n'));
        samples.remove_prefix(std::min(line.size() + 1, samples.size()));
        if (const auto* family = find_metric(line))
        {
            lines[static_cast<std::size_t>(family - table.data())].append(line).append("\n");
        }
    }
    std::string result;
    for (std::size_t n = 0; n != table.size(); ++n)
    {
        result += lines[n].empty() ? std::string{} : header_of(table[n]) + lines[n];
    }
    return result;
}

} // namespace mangovane
