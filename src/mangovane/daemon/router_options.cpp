// Implementation of the router's options.
#include "mangovane/daemon/router_options.hpp"

#include <array>
#include <sstream>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>

#include "mangovane/net/address.hpp"

namespace mangovane
{

namespace po = boost::program_options;

namespace
{

constexpr std::uint32_t max_threads = 64;
constexpr std::uint32_t max_request_memory_mb = 65536;
constexpr std::uint32_t max_chat_capacity = 1U << 22U; ///< Chats; these take about 100 MB.
constexpr std::uint32_t max_drain_ms = 600000;
constexpr std::uint32_t max_grace_ms = 86400000; ///< The longest deadline of a request.

/// Values from flags and environment variables, before conversion.
struct raw_options
{
    router_options parsed;
    std::vector<std::string> endpoint_texts;
    std::uint32_t drain_delay_ms{3000};
    std::uint32_t grace_ms{600000};
};

po::options_description describe(raw_options& raw)
{
    auto& out = raw.parsed;
    po::options_description result{"Options (flag, or environment variable MANGOVANE_<NAME>)"};
    add_commands(result);
    auto add = result.add_options();
    add("name", po::value(&out.name), "unique name of this instance");
    add("domain", po::value(&out.domain), "failure domain of this instance");
    add("listen", po::value(&out.listen)->default_value("127.0.0.1:8080"), "ip:port for callers");
    add("peer-listen", po::value(&out.peer_listen), "ip:port for other instances");
    add("operator-listen", po::value(&out.operator_listen), "ip:port for operators");
    add("platform", po::value(&out.platform), "ip:port of the platform's service");
    add("settings-file", po::value(&out.settings_file),
        "static mode: file with the settings, instead of --platform");
    add("endpoint", po::value(&raw.endpoint_texts)->composing(),
        "static mode: endpoint as service/name/domain/ip:port; may be repeated");
    add("threads", po::value(&out.threads)->default_value(4), "threads, 1 to 64");
    add("chat-capacity", po::value(&out.chat_capacity)->default_value(1U << 20U),
        "chats tracked by this instance, 1024 to 4194304");
    add("request-memory-mb", po::value(&out.request_memory_mb)->default_value(32),
        "memory for all requests that are read or not answered yet, 1 to 65536");
    add("descriptors", po::value(&out.descriptors)->default_value(0),
        "descriptors that the process may open; 0, or more than its own limit: that limit");
    add("drain-delay-ms", po::value(&raw.drain_delay_ms)->default_value(3000),
        "from SIGTERM until connections are refused, 0 to 600000");
    add("grace-ms", po::value(&raw.grace_ms)->default_value(600000),
        "from SIGTERM until requests that still run are cut, 0 to 86400000");
    add("verbose", po::bool_switch(&out.verbose), "log each request");
    return result;
}

absl::StatusOr<endpoint_info> read_endpoint(const std::string& text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '/');
    if (parts.size() != 4 || !parse_address(parts[3]))
    {
        return absl::InvalidArgumentError(
            absl::StrCat("endpoint '", text, "': must be service/name/domain/ip:port"));
    }
    endpoint_info result;
    result.service = service_id::of(parts[0]);
    result.id = endpoint_id::of(parts[1]);
    result.name = parts[1];
    result.domain = domain_id::of(parts[2]);
    result.domain_name = parts[2];
    result.address = parts[3];
    return result;
}

void check_range(std::string_view name,
                 std::uint32_t value,
                 std::uint32_t low,
                 std::uint32_t high,
                 std::vector<std::string>& faults)
{
    if (value < low || value > high)
    {
        faults.push_back(
            absl::StrCat(std::string{name}, " '", value, "': must be ", low, " to ", high));
    }
}

void check_address(std::string_view name,
                   const std::string& value,
                   bool required,
                   std::vector<std::string>& faults)
{
    if ((required || !value.empty()) && !parse_address(value))
    {
        faults.push_back(absl::StrCat(std::string{name}, " '", value, "': must be ip:port"));
    }
}

std::vector<std::string> check(const router_options& options)
{
    std::vector<std::string> faults;
    if (options.name.empty() || options.name.size() > 64)
    {
        faults.push_back(absl::StrCat("name '", options.name, "': must have 1 to 64 characters"));
    }
    if (options.domain.empty())
    {
        faults.emplace_back("domain '': must not be empty");
    }
    check_address("listen", options.listen, true, faults);
    check_address("peer-listen", options.peer_listen, false, faults);
    check_address("operator-listen", options.operator_listen, false, faults);
    check_address("platform", options.platform, false, faults);
    check_range("threads", options.threads, 1, max_threads, faults);
    check_range("request-memory-mb", options.request_memory_mb, 1, max_request_memory_mb, faults);
    check_range("chat-capacity", options.chat_capacity, 1024, max_chat_capacity, faults);
    if (options.platform.empty() == options.settings_file.empty())
    {
        faults.emplace_back("platform, settings-file: exactly one of them must be set");
    }
    const bool needs_key = !options.peer_listen.empty() || !options.operator_listen.empty();
    if (needs_key && options.cluster_key.size() < 16)
    {
        faults.emplace_back(
            "MANGOVANE_CLUSTER_KEY: must have at least 16 characters with peer-listen or "
            "operator-listen");
    }
    return faults;
}

} // namespace

absl::StatusOr<router_options> read_router_options(int argc, const char* const* argv)
{
    raw_options raw;
    const auto command = read_command_line(argc, argv, describe(raw));
    if (!command.ok())
    {
        return command.status();
    }
    raw.parsed.command = *command;
    if (*command == router_command::help || *command == router_command::version)
    {
        return raw.parsed;
    }
    raw.parsed.cluster_key = cluster_key_from_environment();
    raw.parsed.drain_delay = milliseconds{raw.drain_delay_ms};
    raw.parsed.grace_period = milliseconds{raw.grace_ms};
    auto faults = check(raw.parsed);
    check_range("drain-delay-ms", raw.drain_delay_ms, 0, max_drain_ms, faults);
    check_range("grace-ms", raw.grace_ms, 0, max_grace_ms, faults);
    for (const auto& text : raw.endpoint_texts)
    {
        auto endpoint = read_endpoint(text);
        if (endpoint.ok())
        {
            raw.parsed.endpoints.push_back(std::move(*endpoint));
        }
        else
        {
            faults.emplace_back(endpoint.status().message());
        }
    }
    if (!faults.empty())
    {
        return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
    }
    return raw.parsed;
}

std::string router_help()
{
    raw_options raw;
    std::ostringstream out;
    out << "mangovane-router: daemon of an entry instance\n\n"
        << describe(raw)
        << "\nMANGOVANE_CLUSTER_KEY is the cluster key: the shared key of instances and operators; "
           "it cannot be "
           "given as a "
           "flag.\n";
    return out.str();
}

} // namespace mangovane
