// One request of a caller and its answer: carries the actions of the request's flow to the session.
#ifndef MANGOVANE_NET_EXCHANGE_HPP
#define MANGOVANE_NET_EXCHANGE_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/net/frontend_services.hpp"

namespace mangovane
{

/// Actions that a session performs itself.
using session_action =
    std::variant<send_attempt, abort_attempt, answer_error, answer_stored, end_request>;

class exchange final : public request_port, public std::enable_shared_from_this<exchange>
{
public:
    /// The executor is a strand; all state is touched on it alone.
    exchange(boost::asio::any_io_executor executor, frontend_services& services);

    /// Hands the request to the coordinator. Called on the strand.
    void begin(routed_request request);

    /// Reports an event to the flow; false when the flow has ended. Called on the strand.
    bool report(const flow_event& event);

    /// The next action for the session.
    boost::asio::awaitable<session_action> next();

    /// Ends the timers; later events are dropped.
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
    void on_claimed(const mangovane::claim& wanted, const absl::StatusOr<claim_result>& result);

    boost::asio::any_io_executor executor_;
    frontend_services& services_;
    boost::asio::steady_timer signal_; ///< Cancelled when an action arrives.
    boost::asio::steady_timer alarm_;
    std::deque<session_action> actions_;
    std::uint64_t number_{0};
    time_point deadline_;
    bool closed_{false};
};

} // namespace mangovane

#endif
