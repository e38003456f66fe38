// One request of a caller and its response: passes the actions of the request's flow to the
// session.
#ifndef MANGOVANE_NET_REQUEST_EXCHANGE_HPP
#define MANGOVANE_NET_REQUEST_EXCHANGE_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/net/frontend_services.hpp"
#include "mangovane/net/socket_deadline.hpp"

namespace mangovane
{

/// Actions that the session executes; the exchange executes the others.
using session_action =
    std::variant<send_attempt, abort_attempt, answer_error, answer_stored, end_request>;

/// Connects a request's flow in the coordinator with the session that serves the caller.
class request_exchange final : public request_callbacks,
                               public std::enable_shared_from_this<request_exchange>
{
public:
    /// The executor must be a strand; state is accessed on it only. The services outlive the
    /// exchange.
    request_exchange(boost::asio::any_io_executor executor, frontend_services& services);

    /// Starts the request's flow in the coordinator. Called on the strand.
    void begin(routed_request request);

    /// Passes an event to the flow; false if the flow has ended. Called on the strand.
    bool report(const flow_event& event);

    /// Waits for the next action for the session. Called on the strand.
    boost::asio::awaitable<session_action> next();

    /// Stops the timer; later timer events are dropped.
    void close();

    void send(const send_attempt& action) override { push(action); }
    void abort(const abort_attempt& action) override { push(action); }
    void claim(const claim_key& action) override;
    void settle(const settle_claim& action) override;
    void answer(const answer_error& action) override { push(action); }
    void answer(const answer_stored& action) override { push(action); }
    void end(const end_request& action) override { push(action); }
    void wake(const wake_at& action) override;

private:
    void push(session_action action);
    /// Passes an action to the session. Called on the strand.
    void add(session_action action);
    void on_claimed(const mangovane::claim& wanted, const absl::StatusOr<claim_result>& result);

    boost::asio::any_io_executor executor_;
    frontend_services& services_;
    boost::asio::steady_timer action_queued_; ///< Cancelled when an action is queued.
    socket_deadline wake_deadline_;
    std::deque<session_action> actions_;
    std::optional<attempt_id> running_attempt_; ///< Sent and not ended. Used on the strand.
    std::uint64_t flow_id_{0};
    std::uint64_t last_wake_{0}; ///< Number of the wake that set the timer.
    time_point deadline_;
    bool closed_{false};
};

} // namespace mangovane

#endif
