// The decisions of one request on a route, from its arrival to the end of its answer, as a state
// machine. The front end carries out its steps; it never waits and does no I/O.
#ifndef MANGOVANE_FORWARD_FORWARD_FLOW_HPP
#define MANGOVANE_FORWARD_FORWARD_FLOW_HPP

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/forward/endpoint_chooser.hpp"

namespace mangovane
{

/// How an attempt went.
enum class attempt_result : std::uint8_t
{
    delivered,   ///< The whole answer of the endpoint has gone to the caller.
    not_sent,    ///< No byte of the request can have reached the endpoint.
    refused,     ///< The endpoint said that it did not run the request, for want of room.
    misdirected, ///< The endpoint said that it did not run the request; it is not the one meant.
    error,       ///< A whole answer that reports a failure; it can be passed on.
    broken,      ///< No usable answer; the request may have run.
    stalled,     ///< Nothing came in time and the attempt was given up; it may have run.
    cut,         ///< Part of the answer has gone to the caller, and the rest will not come.
    timed_out,   ///< The deadline passed.
    caller_left, ///< The caller closed its connection.
};

inline constexpr std::size_t attempt_result_count = 10;

/// Sends the request to an endpoint.
struct send_step
{
    dispatch_target target;
    std::uint32_t attempt{1};          ///< Counts from 1.
    bool resumes{false};               ///< The answer goes on after the last event that came.
    time_point first_byte_deadline;    ///< Report `stalled` when no byte has come by then.
    milliseconds event_gap_timeout{0}; ///< Report `stalled` after a longer pause; 0: never.

    bool operator==(const send_step&) const = default;
};

/// Passes on the answer of the last attempt, which reported a failure.
struct relay_error_step
{
    bool operator==(const relay_error_step&) const = default;
};

/// Answers with an error of this instance.
struct refuse_step
{
    error_kind kind{error_kind::internal};
    milliseconds retry_after{0}; ///< 0: no advice.

    auto operator<=>(const refuse_step&) const = default;
};

/// Nothing more to do. When the answer is not complete the caller's connection must be closed.
struct finish_step
{
    bool complete{true};

    auto operator<=>(const finish_step&) const = default;
};

using forward_step = std::variant<send_step, relay_error_step, refuse_step, finish_step>;

class forward_flow
{
public:
    /// The chooser outlives the flow.
    forward_flow(forward_request request, endpoint_chooser& chooser)
        : request_{std::move(request)}, chooser_{chooser}
    {}

    /// First step.
    [[nodiscard]] forward_step start(time_point now);

    /// Step after the end of an attempt.
    [[nodiscard]] forward_step on_result(attempt_result result, time_point now);

    /// Whether an attempt that is silent for too long may be given up for another.
    [[nodiscard]] bool may_retry_stalled(time_point now);

    /// Part of the answer goes to the caller: from here on the answer can only be continued.
    void on_response_started() noexcept { response_started_ = true; }
    [[nodiscard]] bool response_started() const noexcept { return response_started_; }

    [[nodiscard]] const forward_request& request() const noexcept { return request_; }
    [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

    /// Whether some endpoint may have run the request.
    [[nodiscard]] bool may_have_run() const noexcept { return runs_ != 0; }

    /// Attempts that certainly did not run, before the request is refused.
    static constexpr std::uint32_t max_refusals = 3;

private:
    struct result_rule;

    [[nodiscard]] forward_step send(bool resumes, time_point now);
    [[nodiscard]] forward_step after_end(time_point now);
    [[nodiscard]] forward_step after_not_sent(time_point now);
    [[nodiscard]] forward_step after_refusal(time_point now);
    [[nodiscard]] forward_step after_error(time_point now);
    [[nodiscard]] forward_step after_broken(time_point now);
    [[nodiscard]] forward_step after_cut(time_point now);
    [[nodiscard]] forward_step after_timeout(time_point now);
    [[nodiscard]] forward_step after_caller_left(time_point now);
    [[nodiscard]] bool may_run_again(time_point now);
    [[nodiscard]] forward_step refuse(error_kind kind) const;
    [[nodiscard]] error_kind truthful(error_kind kind) const noexcept;

    forward_request request_;
    endpoint_chooser& chooser_;
    std::vector<endpoint_id> excluded_; ///< Endpoints that were tried.
    endpoint_id endpoint_;              ///< Of the attempt under way.
    std::uint32_t attempts_{0};
    std::uint32_t refusals_{0}; ///< Attempts that certainly did not run.
    std::uint32_t runs_{0}; ///< Endpoints that may have run the request; at most `max_attempts`.
    bool response_started_{false}; ///< Part of the answer has gone to the caller.
    bool retry_taken_{false};      ///< The budget was charged for the next attempt.
};

} // namespace mangovane

#endif
