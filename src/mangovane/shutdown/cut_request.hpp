// A request that a planned stop has cut, for the log.
#ifndef MANGOVANE_SHUTDOWN_CUT_REQUEST_HPP
#define MANGOVANE_SHUTDOWN_CUT_REQUEST_HPP

#include <compare>
#include <cstdint>
#include <string>

#include "mangovane/core/time.hpp"

namespace mangovane
{

struct cut_request
{
    std::string request;  ///< Id that the caller gave the request; may be empty.
    std::string route;    ///< Route or service.
    std::string endpoint; ///< Of the last attempt; empty if there was none.
    std::uint32_t attempts{0};
    unsigned status{0};         ///< HTTP status sent to the caller; 0: none yet.
    milliseconds read_after{0}; ///< From the stop signal to the end of reading; negative: before.
    milliseconds ran{0};        ///< From the end of reading to the cut.
    milliseconds left{0};       ///< From the cut to the deadline of the request.

    auto operator<=>(const cut_request&) const = default;
};

/// Rounded down, so that it is negative whenever the request was read before the stop signal.
[[nodiscard]] milliseconds read_after_stop(time_point read_at, time_point stop_at);

/// Line of the event log.
[[nodiscard]] std::string log_line(const cut_request& cut);

} // namespace mangovane

#endif
