// What callers have got from a router that stops.
#ifndef MANGOVANE_TEST_PLATFORM_STOP_OUTCOME_HPP
#define MANGOVANE_TEST_PLATFORM_STOP_OUTCOME_HPP

#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "platform/raw_caller.hpp"

namespace mangovane::test
{

inline constexpr std::string_view end_of_stream = "0\r\n\r\n";

/// Whether the response states that the request was not run, and ends the connection.
[[nodiscard]] inline bool is_refusal_of_stop(std::string_view text)
{
    return status_of(text) == 503 && text.find("\"not_run\":true") != std::string_view::npos &&
           text.find("Connection: close") != std::string_view::npos;
}

/// Number of requests, by what their callers got.
struct stop_outcomes
{
    std::size_t whole{0};
    std::size_t refused{0};    ///< See `is_refusal_of_stop`.
    std::size_t failed{0};     ///< Another error response.
    std::size_t cut{0};        ///< A stream without its end.
    std::size_t unanswered{0}; ///< The connection ended without a byte.

    bool operator==(const stop_outcomes&) const = default;

    /// Counts what a caller has read until its connection ended.
    void add(std::string_view text)
    {
        const auto status = status_of(text);
        auto& counter = text.empty()                    ? unanswered
                        : is_refusal_of_stop(text)      ? refused
                        : status >= 400                 ? failed
                        : text.ends_with(end_of_stream) ? whole
                                                        : cut;
        ++counter;
    }
};

inline std::ostream& operator<<(std::ostream& out, const stop_outcomes& it)
{
    return out << "whole " << it.whole << ", refused " << it.refused << ", failed " << it.failed
               << ", cut " << it.cut << ", unanswered " << it.unanswered;
}

/// Reads until the connection of each caller ends.
[[nodiscard]] inline stop_outcomes
read_outcomes(const std::vector<std::unique_ptr<raw_caller>>& callers, milliseconds timeout)
{
    stop_outcomes result;
    for (const auto& it : callers)
    {
        result.add(it->read_all(timeout));
    }
    return result;
}

} // namespace mangovane::test

#endif
