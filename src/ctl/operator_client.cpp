// HTTP client of the operator API.
#include "ctl/operator_client.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "ctl/command_context.hpp"
#include "ctl/command_line.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/net/address.hpp"
#include "mangovane/net/status_json.hpp"

namespace mangovane::ctl
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr seconds status_timeout{5};
constexpr milliseconds status_poll_period{250};
constexpr std::uint64_t max_status_bytes = 16ULL * 1024 * 1024;

/// One GET request on a new connection. Each completed step starts the next.
class status_request
{
public:
    status_request(const std::string& address, const std::string& key)
        : request_{http::verb::get, "/operator/status", 11}
    {
        request_.set(http::field::host, address);
        request_.set(http::field::authorization, absl::StrCat("Bearer ", key));
        request_.keep_alive(false);
        parser_.body_limit(max_status_bytes);
    }

    /// Blocks until the response is read; returns the error of the step that failed.
    beast::error_code run(const asio::ip::tcp::endpoint& endpoint);

    [[nodiscard]] const http::response<http::string_body>& reply() const { return parser_.get(); }

private:
    template <class Next>
    auto step(Next next)
    {
        return [this, next](beast::error_code ec, auto&&...)
        {
            error_ = ec;
            if (!ec)
            {
                next();
            }
        };
    }

    void read()
    {
        http::async_read(stream_, buf_, parser_, step([] {}));
    }

    void write()
    {
        http::async_write(stream_, request_, step([this] { read(); }));
    }

    asio::io_context io_;
    beast::tcp_stream stream_{io_};
    beast::flat_buffer buf_;
    http::request<http::empty_body> request_;
    http::response_parser<http::string_body> parser_;
    beast::error_code error_;
};

beast::error_code status_request::run(const asio::ip::tcp::endpoint& endpoint)
{
    stream_.expires_after(status_timeout);
    stream_.async_connect(endpoint, step([this] { write(); }));
    io_.run();
    return error_;
}

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
    status_request call{address, key};
    if (const auto ec = call.run(*endpoint))
    {
        return absl::UnavailableError(
            absl::StrCat("operator API at ", address, ": ", ec.message()));
    }
    if (call.reply().result() == http::status::unauthorized)
    {
        return absl::PermissionDeniedError(
            absl::StrCat(address, " rejected the key in MANGOVANE_CLUSTER_KEY"));
    }
    if (call.reply().result() != http::status::ok)
    {
        return absl::UnavailableError(
            absl::StrCat(address, " responded with HTTP status ", call.reply().result_int()));
    }
    return parse_status(call.reply().body());
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
