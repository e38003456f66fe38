// One connection of a caller on routes: reads requests and carries out the steps of their flows.
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

#include "mangovane/net/event_splitter.hpp"
#include "mangovane/net/forward_services.hpp"
#include "mangovane/net/http_text.hpp"
#include "mangovane/net/upstream_call.hpp"

namespace mangovane
{

namespace internal
{

/// A whole answer of an endpoint, not yet passed on.
struct kept_answer
{
    answer_head head;
    std::string body;
};

/// State of the request being served.
struct served_request
{
    boost::beast::http::request<boost::beast::http::string_body> message;
    std::shared_ptr<const std::string> body;
    std::optional<forward_flow> flow;
    std::optional<kept_answer> failure; ///< Of the last attempt.
    event_splitter events;
    std::string weights;        ///< Of the first endpoint of a stream.
    unsigned status{0};         ///< Of the answer; 0: none yet.
    time_point first_byte_at{}; ///< Of the answer.
    time_point dispatched_at{}; ///< Of the last attempt.
};

} // namespace internal

class forward_session : public std::enable_shared_from_this<forward_session>
{
public:
    /// The socket's executor is a strand; all state is touched on it alone.
    forward_session(boost::asio::ip::tcp::socket socket, forward_services& services);

    /// Serves the connection until it closes.
    boost::asio::awaitable<void> run();

    /// Closes the connection if it is between two requests, else after the current answer.
    /// May be called from any thread.
    void drain_soon();

private:
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    using current_request = internal::served_request;
    using kept_answer = internal::kept_answer;

    // Requests (forward_session.cpp).
    boost::asio::awaitable<bool> read_request();
    boost::asio::awaitable<bool> await_first_byte(const http_limits& limits);
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<bool> carry_out(const forward_step& step, forward_step& next);
    boost::asio::awaitable<void>
    refuse(error_kind kind, std::string message, milliseconds retry_after);
    boost::asio::awaitable<bool> write_caller(std::string bytes);
    boost::asio::awaitable<bool> write_kept(const kept_answer& answer);
    void watch_caller();
    void on_caller_lost();
    void observe(std::string_view outcome);
    void drain();
    [[nodiscard]] bool keep_alive() const;

    // Attempts (forward_attempt.cpp).
    boost::asio::awaitable<attempt_result> attempt(const send_step& step);
    boost::asio::awaitable<attempt_result> read_answer(const send_step& step);
    boost::asio::awaitable<attempt_result> relay_whole();
    boost::asio::awaitable<bool> read_body(std::string& body);
    boost::asio::awaitable<attempt_result> relay_stream(const send_step& step);
    boost::asio::awaitable<bool> relay_events(std::string_view bytes);
    [[nodiscard]] attempt_result interrupted(attempt_result otherwise) const;
    [[nodiscard]] std::string head_for_endpoint(const send_step& step) const;
    void arm(time_point at);
    void on_alarm(std::uint64_t number);
    void log_dispatch(const send_step& step) const;
    void log_result(const send_step& step, attempt_result result) const;

    boost::beast::tcp_stream stream_;
    forward_services& services_;
    boost::beast::flat_buffer buffer_;
    boost::asio::steady_timer alarm_;
    std::shared_ptr<upstream_call> call_;    ///< Attempt under way; null between attempts.
    std::optional<current_request> current_; ///< Empty between requests.
    std::uint64_t alarm_number_{0};          ///< Of the alarm that is set; older ones are ignored.
    bool alarm_rang_{false};                 ///< The call was closed because nothing came in time.
    bool caller_lost_{false};
    bool keep_alive_{true};
    bool draining_{false};
};

} // namespace mangovane

#endif
