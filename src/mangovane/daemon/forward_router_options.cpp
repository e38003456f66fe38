// Implementation of the forwarding router's options.
#include "mangovane/daemon/forward_router_options.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>

#include "mangovane/daemon/admission_option.hpp"
#include "mangovane/net/address.hpp"

namespace mangovane
{

namespace po = boost::program_options;

namespace
{

constexpr std::uint32_t max_threads = 64;
constexpr std::uint32_t max_stop_ms = 600000;
/// The steps between the canary and the whole traffic last in proportion to the share.
constexpr double max_rollout_share = 0.25;
constexpr std::size_t min_cluster_key_bytes = 16;

/// Values from flags and environment variables, before conversion.
struct raw_options
{
    forward_router_options parsed;
    std::string seeds;
    std::string placement{"least-loaded"};
    std::string admission{"off"};
    std::uint32_t drain_delay_ms{2500};
    std::uint32_t grace_ms{8000};
    std::uint32_t endpoint_drain_ms{2000};
    std::uint32_t retry_window_s{10};
    std::uint32_t rollback_ms{0};
};

po::options_description describe(raw_options& raw)
{
    auto& out = raw.parsed;
    auto& fleet = out.fleet;
    po::options_description result{"Options (flag, or environment variable MANGOVANE_<NAME>)"};
    add_commands(result);
    auto add = result.add_options();
    add("name", po::value(&out.name), "unique name of this instance: its IP address");
    add("domain", po::value(&out.domain), "failure domain of this instance");
    add("listen", po::value(&out.listen), "ip:port for callers");
    add("ready-listen", po::value(&out.ready_listen), "ip:port of the readiness probe");
    add("metrics-listen", po::value(&out.metrics_listen), "ip:port for metrics");
    add("peer-listen", po::value(&out.peer_listen), "ip:port for other instances");
    add("peer-advertise", po::value(&out.peer_advertise),
        "ip:port at which other instances reach peer-listen, if different");
    add("store", po::value(&out.store), "ip:port of the platform's store");
    add("seeds", po::value(&raw.seeds), "ip:port of some instances, separated by commas");
    add("threads", po::value(&out.threads)->default_value(2), "threads, 1 to 64");
    add("request-memory-mb", po::value(&out.request_memory_mb)->default_value(32),
        "memory for all requests that are read or not answered yet, 1 to 65536");
    add("descriptors", po::value(&out.descriptors)->default_value(0),
        "descriptors that the process may open; 0, or more than its own limit: that limit");
    add("drain-delay-ms", po::value(&raw.drain_delay_ms)->default_value(2500),
        "from SIGTERM until connections are refused, 0 to 600000");
    add("grace-ms", po::value(&raw.grace_ms)->default_value(8000),
        "from SIGTERM until the process ends, 0 to 600000");
    add("endpoint-drain-ms", po::value(&raw.endpoint_drain_ms)->default_value(2000),
        "how long an endpoint goes on serving after it has announced that it leaves, 0 to 600000");
    add("load-factor", po::value(&fleet.bound.factor)->default_value(2.0),
        "limit on an endpoint's load as a multiple of the mean, 1 to 100");
    add("load-extra", po::value(&fleet.bound.extra)->default_value(3.0),
        "requests allowed above that multiple, 0 to 1000");
    add("retry-ratio", po::value(&fleet.retries.ratio)->default_value(0.1),
        "retries per request, over all instances, 0 to 1");
    add("retry-slack", po::value(&fleet.retries.slack)->default_value(10.0),
        "retries above that ratio per window, over all instances, 0 to 1000000");
    add("retry-window-s", po::value(&raw.retry_window_s)->default_value(10),
        "window of the retry budget in seconds, 1 to 3600");
    add("cold-overshoot", po::value(&fleet.cold_rate_factor)->default_value(1.0),
        "multiple of the rate that a cold endpoint accepts, 0 to 100");
    add("cold-tolerance", po::value(&fleet.cold_rate_extra)->default_value(0.0),
        "requests per second to a cold endpoint above that rate, 0 to 1000");
    add("rollout-share", po::value(&out.rollouts.canary_share)->default_value(0.0),
        "largest fraction of a service's requests that a bad version gets, 0 to 0.25; 0: versions "
        "are not told apart");
    add("rollout-tolerance", po::value(&out.rollouts.canary_tolerance)->default_value(0.0),
        "requests allowed above that fraction, 0 to 1000000; no effect without --rollout-share");
    add("rollback-ms", po::value(&raw.rollback_ms)->default_value(0),
        "from the 50th bad response of a version to its last request, 1000 to 600000; 0: not "
        "stated; no effect without --rollout-share");
    add("placement", po::value(&raw.placement)->default_value("least-loaded"),
        "choice of an endpoint: least-loaded; even; reported: even once endpoints state their "
        "speed; or plain: even for requests without a prompt prefix");
    add("admission", po::value(&raw.admission)->default_value("off"),
        "requests of a service without room: off: sent all the same; queue: wait in order or are "
        "refused; a list of words: queue if it contains pressure");
    return result;
}

std::optional<placement_mode> find_placement(std::string_view text)
{
    const auto* it = std::find_if(placement_policies.begin(), placement_policies.end(),
                                  [&](const auto& policy) { return policy.name == text; });
    return it == placement_policies.end()
               ? std::nullopt
               : std::optional{static_cast<placement_mode>(it - placement_policies.begin())};
}

struct number_range
{
    const char* name;
    double value;
    double low;
    double high;
};

std::vector<std::string> check(const raw_options& raw)
{
    const auto& it = raw.parsed;
    std::vector<std::string> faults;
    if (it.name.empty() || it.name.size() > 64)
    {
        faults.push_back(absl::StrCat("name '", it.name, "': must have 1 to 64 characters"));
    }
    if (it.domain.empty())
    {
        faults.emplace_back("domain '': must not be empty");
    }
    const std::array<std::pair<const char*, const std::string*>, 6> addresses{
        {{"listen", &it.listen},
         {"peer-listen", &it.peer_listen},
         {"peer-advertise", &it.peer_advertise},
         {"store", &it.store},
         {"ready-listen", &it.ready_listen},
         {"metrics-listen", &it.metrics_listen}}};
    for (const auto& [name, value] : addresses)
    {
        const bool optional = value == &it.ready_listen || value == &it.metrics_listen;
        if (!(optional && value->empty()) && !parse_address(*value))
        {
            faults.push_back(absl::StrCat(name, " '", *value, "': must be ip:port"));
        }
    }
    for (const auto& seed : it.seeds)
    {
        if (!parse_address(seed))
        {
            faults.push_back(absl::StrCat("seeds '", seed, "': must be ip:port"));
        }
    }
    const std::array ranges{
        number_range{"threads", static_cast<double>(it.threads), 1, max_threads},
        number_range{"request-memory-mb", static_cast<double>(it.request_memory_mb), 1, 65536},
        number_range{"drain-delay-ms", static_cast<double>(raw.drain_delay_ms), 0, max_stop_ms},
        number_range{"grace-ms", static_cast<double>(raw.grace_ms), 0, max_stop_ms},
        number_range{"endpoint-drain-ms", static_cast<double>(raw.endpoint_drain_ms), 0,
                     max_stop_ms},
        number_range{"load-factor", it.fleet.bound.factor, 1, 100},
        number_range{"load-extra", it.fleet.bound.extra, 0, 1000},
        number_range{"retry-ratio", it.fleet.retries.ratio, 0, 1},
        number_range{"retry-slack", it.fleet.retries.slack, 0, 1000000},
        number_range{"retry-window-s", static_cast<double>(raw.retry_window_s), 1, 3600},
        number_range{"cold-overshoot", it.fleet.cold_rate_factor, 0, 100},
        number_range{"cold-tolerance", it.fleet.cold_rate_extra, 0, 1000},
        number_range{"rollout-share", it.rollouts.canary_share, 0, max_rollout_share},
        number_range{"rollout-tolerance", it.rollouts.canary_tolerance, 0, 1000000},
        number_range{"rollback-ms", static_cast<double>(raw.rollback_ms), 0, max_stop_ms},
    };
    for (const auto& range : ranges)
    {
        // Negated so that NaN, for which every comparison is false, is rejected.
        if (!(range.value >= range.low && range.value <= range.high))
        {
            faults.push_back(absl::StrCat(range.name, " '", range.value, "': must be ", range.low,
                                          " to ", range.high));
        }
    }
    if (it.rollouts.enabled() && raw.rollback_ms != 0 &&
        it.rollouts.rollback_time < rollout_policy::min_rollback_time)
    {
        faults.push_back(absl::StrCat("rollback-ms '", raw.rollback_ms, "': must be 0 or at least ",
                                      rollout_policy::min_rollback_time.count(),
                                      ", in which a verdict reaches all instances"));
    }
    if (!find_placement(raw.placement))
    {
        faults.push_back(absl::StrCat("placement '", raw.placement,
                                      "': must be least-loaded, even, reported or plain"));
    }
    if (!find_admission(raw.admission))
    {
        faults.push_back(
            absl::StrCat("admission '", raw.admission, "': must be off, queue or a list of words"));
    }
    if (it.cluster_key.size() < min_cluster_key_bytes)
    {
        faults.push_back(absl::StrCat("MANGOVANE_CLUSTER_KEY: must have at least ",
                                      min_cluster_key_bytes, " characters in length"));
    }
    return faults;
}

} // namespace

absl::StatusOr<forward_router_options> read_forward_router_options(int argc,
                                                                   const char* const* argv)
{
    raw_options raw;
    const auto command = read_command_line(argc, argv, describe(raw));
    if (!command.ok())
    {
        return command.status();
    }
    auto& out = raw.parsed;
    out.command = *command;
    if (*command == router_command::help || *command == router_command::version)
    {
        return out;
    }
    out.cluster_key = cluster_key_from_environment();
    if (out.peer_advertise.empty())
    {
        out.peer_advertise = out.peer_listen;
    }
    out.drain_delay = milliseconds{raw.drain_delay_ms};
    out.grace_period = milliseconds{raw.grace_ms};
    out.endpoint_drain = milliseconds{raw.endpoint_drain_ms};
    out.rollouts.rollback_time = milliseconds{raw.rollback_ms};
    out.fleet.retries.window = seconds{raw.retry_window_s};
    out.fleet.placement = find_placement(raw.placement).value_or(out.fleet.placement);
    out.admission.enabled = find_admission(raw.admission).value_or(false);
    out.seeds = absl::StrSplit(raw.seeds, ',', absl::SkipEmpty());
    const auto faults = check(raw);
    if (!faults.empty())
    {
        return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
    }
    return out;
}

std::string forward_router_help()
{
    raw_options raw;
    std::ostringstream out;
    out << "Daemon of an entry instance that forwards requests by routes\n\n"
        << describe(raw)
        << "\nMANGOVANE_CLUSTER_KEY is the cluster key: the shared key of instances; it cannot be "
           "given as a "
        << "flag.\n";
    return out.str();
}

} // namespace mangovane
