// A minimal HTTP client: one connection per request, with a timeout.
#ifndef MANGOVANE_TEST_PROCESS_HTTP_CLIENT_HPP
#define MANGOVANE_TEST_PROCESS_HTTP_CLIENT_HPP

#include <string>
#include <utility>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

struct http_request
{
    std::string method{"GET"};
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
    milliseconds timeout{15000};
};

struct http_response
{
    unsigned status{0}; ///< 0: no connection, or closed before the end of the response.
    std::string body;
    bool connected{false};
    std::string error;

    bool operator==(const http_response&) const = default;

    [[nodiscard]] bool has(const std::string& text) const
    {
        return body.find(text) != std::string::npos;
    }
};

[[nodiscard]] http_response send(const std::string& address, const http_request& req);

} // namespace mangovane::test

#endif
