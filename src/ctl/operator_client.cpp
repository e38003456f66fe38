// HTTP client of the operator API.
#include "ctl/operator_client.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/beast/http/status.hpp>

#include "ctl/command_context.hpp"
#include "ctl/command_line.hpp"
#include "ctl/http_get.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/net/address.hpp"
#include "mangovane/net/status_json.hpp"

namespace mangovane::ctl
{

namespace
{

namespace http = boost::beast::http;

constexpr milliseconds status_poll_period{250};

bool is_live(const instance_status& instance)
{
    return instance.state == "alive" || instance.state == "suspect";
}

/// Names and versions of the live instances that have an older version.
std::vector<std::string> lagging_instances(const fleet_status& status, std::uint64_t version)
{
    std::vector<std::string> result;
    for (const auto& it : status.instances)
    {
        if (is_live(it) && it.settings_version < version)
        {
            result.push_back(absl::StrCat(it.name, " (version ", it.settings_version, ")"));
        }
    }
    return result;
}

/// Prints progress to standard error, each state once.
class progress_reporter
{
public:
    explicit progress_reporter(std::uint64_t version) : version_{version} {}

    void show(const fleet_status& status, const std::vector<std::string>& lagging)
    {
        const auto live = std::count_if(status.instances.begin(), status.instances.end(), is_live);
        const auto text = absl::StrCat("version ", version_, ": ", lagging.size(), " of ", live,
                                       " live instances do not have it yet");
        if (text != last_)
        {
            std::cerr << text << '\n';
            last_ = text;
        }
    }

private:
    std::uint64_t version_;
    std::string last_;
};

int report_timeout(const absl::StatusOr<fleet_status>& status,
                   std::uint64_t version,
                   std::uint32_t limit_s)
{
    if (!status.ok())
    {
        return report_error(status.status());
    }
    std::cerr << "mangovanectl: after " << limit_s << " s version " << version
              << " is not in force on: " << absl::StrJoin(lagging_instances(*status, version), ", ")
              << '\n';
    return exit_wait_timeout;
}

} // namespace

absl::StatusOr<fleet_status> fetch_status(const std::string& address, const std::string& key)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        return absl::InvalidArgumentError("--operator must be ip:port");
    }
    const auto reply = http_get(*endpoint, "/operator/status", key);
    if (!reply.ok())
    {
        return absl::UnavailableError(
            absl::StrCat("operator API at ", address, ": ", reply.status().message()));
    }
    if (reply->result() == http::status::unauthorized)
    {
        return absl::PermissionDeniedError(
            absl::StrCat(address, " rejected the key in MANGOVANE_CLUSTER_KEY"));
    }
    if (reply->result() != http::status::ok)
    {
        return absl::UnavailableError(
            absl::StrCat(address, " responded with HTTP status ", reply->result_int()));
    }
    return parse_status(reply->body());
}

int wait_for_version(const std::string& address,
                     const std::string& key,
                     std::uint64_t version,
                     std::uint32_t limit_s)
{
    const auto until = clock::now() + seconds{limit_s};
    progress_reporter reporter{version};
    while (true)
    {
        const auto status = fetch_status(address, key);
        if (status.ok())
        {
            const auto lagging = lagging_instances(*status, version);
            reporter.show(*status, lagging);
            if (lagging.empty() && !status->instances.empty())
            {
                return exit_ok;
            }
        }
        const bool final = !status.ok() && !absl::IsUnavailable(status.status());
        if (final || clock::now() + status_poll_period > until)
        {
            return report_timeout(status, version, limit_s);
        }
        std::this_thread::sleep_for(status_poll_period);
    }
}

std::string cluster_key()
{
    const char* value = std::getenv("MANGOVANE_CLUSTER_KEY");
    return value == nullptr ? std::string{} : std::string{value};
}

} // namespace mangovane::ctl
