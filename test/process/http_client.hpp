// A small HTTP client: one connection a call, bounded in time.
#ifndef MANGOVANE_TEST_PROCESS_HTTP_CLIENT_HPP
#define MANGOVANE_TEST_PROCESS_HTTP_CLIENT_HPP

#include <string>
#include <utility>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

struct http_call
{
    std::string method{"GET"};
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
    milliseconds limit{15000};
};

struct http_answer
{
    unsigned status{0}; ///< 0: the connection failed, or broke before the answer was whole.
    std::string body;
    bool connected{false};
    std::string error;

    bool operator==(const http_answer&) const = default;

    [[nodiscard]] bool has(const std::string& text) const
    {
        return body.find(text) != std::string::npos;
    }
};

[[nodiscard]] http_answer send(const std::string& address, const http_call& call);

} // namespace mangovane::test

#endif
