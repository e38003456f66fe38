// HTTP connection of a caller on routes: reads requests and executes the steps of their flows.
#ifndef MANGOVANE_NET_FORWARD_SESSION_HPP
#define MANGOVANE_NET_FORWARD_SESSION_HPP

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "mangovane/net/forward_services.hpp"
#include "mangovane/net/http_serialization.hpp"
#include "mangovane/net/sse_splitter.hpp"
#include "mangovane/net/upstream_call.hpp"

namespace mangovane
{

namespace internal
{

/// A complete response of an endpoint that has not been relayed yet.
struct buffered_response
{
    response_head head;
    std::string body;
};

/// State of the request that is being served.
struct served_request
{
    boost::beast::http::request<boost::beast::http::string_body> message;
    std::shared_ptr<const std::string> body;
    std::optional<forward_flow> flow;
    std::optional<buffered_response> error_response; ///< Error response of the last attempt.
    sse_splitter events;
    std::string weights_version; ///< Version of the model weights that began the stream.
    unsigned status{0};          ///< HTTP status sent to the caller; 0: none yet.
    time_point first_byte_at{};  ///< When the response to the caller began.
    time_point dispatched_at{};  ///< When the last attempt began.
};

} // namespace internal

/// Serves the requests of one connection in turn.
class forward_session : public std::enable_shared_from_this<forward_session>
{
public:
    /// The socket's executor must be a strand; state is accessed on it only. The services outlive
    /// the session.
    forward_session(boost::asio::ip::tcp::socket socket, forward_services& services);

    /// Serves the connection until it is closed.
    boost::asio::awaitable<void> run();

    /// Closes the connection now if it is idle, else after the current response. Thread-safe.
    void request_drain();

private:
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    using current_request = internal::served_request;
    using buffered_response = internal::buffered_response;

    // Implemented in forward_session.cpp: requests and responses.
    boost::asio::awaitable<bool> read_request();
    boost::asio::awaitable<bool> await_first_byte(const http_limits& limits);
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<bool> execute_step(const forward_step& step, forward_step& next);
    boost::asio::awaitable<void>
    refuse(error_kind kind, std::string message, milliseconds retry_after);
    boost::asio::awaitable<bool> write_to_caller(std::string bytes);
    boost::asio::awaitable<bool> write_buffered(const buffered_response& answer);
    void watch_caller();
    void on_caller_disconnected();
    void record_outcome(std::string_view outcome);
    void drain();
    [[nodiscard]] bool keep_alive() const;

    // Implemented in forward_attempt.cpp: attempts at endpoints.
    boost::asio::awaitable<attempt_result> attempt(const send_step& step);
    boost::asio::awaitable<attempt_result> read_answer(const send_step& step);
    boost::asio::awaitable<attempt_result> relay_buffered();
    boost::asio::awaitable<bool> read_body(std::string& body);
    boost::asio::awaitable<attempt_result> relay_stream(const send_step& step);
    boost::asio::awaitable<bool> relay_events(std::string_view bytes);
    /// Result of an attempt whose connection ended early: the caller disconnected, a timeout, or
    /// else `fallback`.
    [[nodiscard]] attempt_result early_end_result(attempt_result fallback) const;
    [[nodiscard]] std::string upstream_head_text(const send_step& step) const;
    /// Starts the timer that closes the call.
    void set_timer(time_point at);
    void on_timer(std::uint64_t generation);
    void log_dispatch(const send_step& step) const;
    void log_result(const send_step& step, attempt_result result) const;

    boost::beast::tcp_stream stream_;
    forward_services& services_;
    boost::beast::flat_buffer buffer_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<upstream_call> call_;    ///< Null between attempts.
    std::optional<current_request> current_; ///< Empty between requests.
    std::uint64_t timer_generation_{0};      ///< Of the running timer; older expiries are ignored.
    bool timed_out_{false};                  ///< The timer has closed the call.
    bool caller_disconnected_{false};
    bool keep_alive_{true};
    bool draining_{false};
};

} // namespace mangovane

#endif
