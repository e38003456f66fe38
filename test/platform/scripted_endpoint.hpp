// Endpoint whose responses the tests write byte by byte, for endpoints that behave unusually.
#ifndef MANGOVANE_TEST_PLATFORM_SCRIPTED_ENDPOINT_HPP
#define MANGOVANE_TEST_PLATFORM_SCRIPTED_ENDPOINT_HPP

#include <atomic>
#include <functional>
#include <string>
#include <utility>

#include <absl/strings/str_cat.h>

#include "standin/hosted_server.hpp"
#include "standin/http_host.hpp"

namespace mangovane::test
{

/// Beginning of a response to a request; `fields` holds further fields and the empty line.
[[nodiscard]] inline std::string
response_head(const standin::request& req, unsigned status, const std::string& fields)
{
    return absl::StrCat("HTTP/1.1 ", status,
                        " Any\r\nX-Attempt-Id: ", std::string{req["X-Attempt-Id"]},
                        "\r\nX-Server-Signature: s\r\n", fields);
}

/// An endpoint that runs a script for each request, and counts the requests.
class scripted_endpoint
{
public:
    using script =
        std::function<boost::asio::awaitable<void>(const standin::request&, standin::reply&)>;

    explicit scripted_endpoint(script run)
        : run_{std::move(run)}, host_{[this](const standin::request& req, standin::reply& rep)
                                      { return handle(req, rep); }}
    {}

    [[nodiscard]] const std::string& address() const { return host_.address(); }
    [[nodiscard]] int started() const { return started_; }
    [[nodiscard]] int ended() const { return ended_; }

private:
    boost::asio::awaitable<void> handle(const standin::request& req, standin::reply& rep)
    {
        ++started_;
        co_await run_(req, rep);
        ++ended_;
    }

    const script run_;
    std::atomic<int> started_{0};
    std::atomic<int> ended_{0};
    standin::hosted_server host_;
};

} // namespace mangovane::test

#endif
