// Seeded plan of the requests that callers send around a stop of routers.
#ifndef MANGOVANE_TEST_PLATFORM_STOP_PLAN_HPP
#define MANGOVANE_TEST_PLATFORM_STOP_PLAN_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

/// Times of the stop, as the platform's deployment sets them.
inline constexpr milliseconds stop_grace_period{7800};
inline constexpr milliseconds stop_drain_delay{2500};

/// Timeout of the routes; work may take almost as long.
inline constexpr milliseconds stop_route_timeout{12000};

/// The earliest request is sent so long before the stop signal.
inline constexpr milliseconds stop_lead_time{3500};

/// Connection on which a request is sent.
enum class arrival : std::uint8_t
{
    fresh,     ///< One without an earlier request.
    kept,      ///< One whose stream began before the stop signal and has ended.
    pipelined, ///< One whose stream began before the stop signal and still runs.
    half_read, ///< A fresh one; only the first part of the request is sent before the stop signal.
};

/// When the last byte of a request is sent.
enum class sending : std::uint8_t
{
    before,    ///< The stop signal.
    accepting, ///< While the router accepts connections after the stop signal.
    draining,  ///< Later, up to the end of the grace period.
};

/// How an endpoint marks the end of its answer.
enum class answer_form : std::uint8_t
{
    chunked,
    sized,       ///< `Content-Length` in a head that is sent at once.
    until_close, ///< By closing the connection.
    whole,       ///< `Content-Length`; nothing is sent before the work has ended.
};

enum class body_form : std::uint8_t
{
    sized,
    chunked,
};

inline constexpr std::array<std::string_view, 4> arrival_names{"fresh", "kept", "pipelined",
                                                               "half_read"};
inline constexpr std::array<std::string_view, 3> sending_names{"before", "accepting", "draining"};

inline constexpr std::array<std::string_view, 4> answer_names{"chunked", "sized", "until_close",
                                                              "whole"};

/// A request and the work that it causes. All times of a plan are relative to the stop signal.
struct planned_request
{
    std::string id;
    std::string body;
    body_form body_framing{body_form::sized};
    answer_form answer_framing{answer_form::chunked};
    milliseconds work{0};     ///< Of the endpoint.
    milliseconds deadline{0}; ///< That the request states; 0: that of its route.
    milliseconds sent_at{0};  ///< Its last byte.

    auto operator<=>(const planned_request&) const = default;
};

/// A connection and the requests on it.
struct planned_connection
{
    std::size_t router{0};
    arrival kind{arrival::fresh};
    sending when{sending::before};
    milliseconds opened_at{0};
    std::optional<planned_request> earlier; ///< Stream in front of the request.
    planned_request request;
    std::size_t first_part{0}; ///< Bytes of the request that are sent when the connection opens.

    auto operator<=>(const planned_connection&) const = default;
};

/// Every combination of connection, time and framings for each router. The lengths of the work and
/// the times depend on the seed.
[[nodiscard]] std::vector<planned_connection> make_stop_plan(std::uint32_t seed,
                                                             std::size_t router_count);

/// Route of the configuration on which the request is sent.
[[nodiscard]] std::string route_of(const planned_request& request);

/// The request as its caller writes it.
[[nodiscard]] std::string text_of(const planned_request& request);

/// Number of parts in which an endpoint writes its answer.
inline constexpr int answer_part_count = 12;

/// Part `n` of the answer to a request, from 1.
[[nodiscard]] std::string answer_part(const std::string& id, const std::string& body, int n);

/// The whole answer.
[[nodiscard]] std::string answer_to(const std::string& id, const std::string& body);

} // namespace mangovane::test

#endif
