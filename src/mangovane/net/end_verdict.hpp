// Decides whether a response without a length, which ends with its connection, is complete.
#ifndef MANGOVANE_NET_END_VERDICT_HPP
#define MANGOVANE_NET_END_VERDICT_HPP

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "mangovane/core/time.hpp"
#include "mangovane/net/end_evidence.hpp"

namespace mangovane
{

/// How a response that only the end of its connection ends came to that end.
struct response_end
{
    connection_sample connection; ///< Of the response, sampled after its end.
    /// Longest time from the last bytes to the end within which both count as sent together.
    milliseconds max_gap{0};
    /// The receive window may have been full, so that the last bytes and the end came late.
    bool held_back{false};

    auto operator<=>(const response_end&) const = default;
};

/// What came of a new connection to the address of an endpoint.
enum class connect_outcome : std::uint8_t
{
    accepted,
    refused,    ///< The host responds, but no process listens there.
    unanswered, ///< Nothing responds, as in a network partition.
};

/// All that is known of the end of a response some time after it.
struct end_observation
{
    response_end end;
    connect_outcome connect{connect_outcome::accepted};
    std::vector<connection_sample> others; ///< Other connections to the address.
    /// After a refusal, once an end that was lost on the way would have been repeated: whether a
    /// connection with a request, or a liveness connection, shows the process.
    bool shown_by_request{false};
    bool shown_by_liveness{false};
    bool leaving{false};       ///< The endpoint is known to leave.
    bool may_have_left{false}; ///< The time for which it had to go on serving was over at the end.

    bool operator==(const end_observation&) const = default;
};

/// Why a response that ended with its connection counts as complete or not.
enum class end_reason : std::uint8_t
{
    process_lives,        ///< The process was there after the end.
    ended_with_response,  ///< The end came with the last bytes, and the address accepts.
    left_after_response,  ///< The same, and the endpoint that was to leave has exited.
    reset,                ///< The connection was reset.
    process_ended,        ///< The process ended at the same time.
    refuses,              ///< Nothing shows the process, and the address refuses connections.
    ended_after_response, ///< The end came long after the last bytes, and nothing shows the
                          ///< process.
};

[[nodiscard]] std::string_view name_of(end_reason reason) noexcept;

/// What was found about the end of a connection.
struct end_verdict
{
    bool complete{false}; ///< The response is whole.
    bool crashed{false};  ///< The process has ended without having been about to leave.
    end_reason reason{end_reason::reset};

    auto operator<=>(const end_verdict&) const = default;
};

[[nodiscard]] end_verdict judge_end(const end_observation& seen);

} // namespace mangovane

#endif
