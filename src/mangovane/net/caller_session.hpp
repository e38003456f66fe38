// HTTP connection of a caller to the native API: reads requests, passes them to the coordinator and
// writes the responses.
#ifndef MANGOVANE_NET_CALLER_SESSION_HPP
#define MANGOVANE_NET_CALLER_SESSION_HPP

#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "mangovane/net/caller_reader.hpp"
#include "mangovane/net/endpoint_attempt.hpp"
#include "mangovane/net/request_exchange.hpp"
#include "mangovane/net/session_end.hpp"
#include "mangovane/net/socket_deadline.hpp"

namespace mangovane
{

/// Serves the requests of one connection in turn.
class caller_session final : public response_sink,
                             public std::enable_shared_from_this<caller_session>
{
public:
    /// The socket's executor must be a strand. The services outlive the session.
    caller_session(boost::asio::ip::tcp::socket socket, frontend_services& services);

    /// Takes a place among the open connections; see `caller_reader::open`.
    [[nodiscard]] bool open(connection_limit::evict_handler on_evicted)
    {
        return reader_.open(std::move(on_evicted));
    }

    /// Serves the connection until it is closed.
    boost::asio::awaitable<void> run();

    /// Closes the connection after the current response, or soon if no request has been sent on it.
    /// A request that has arrived is served. Thread-safe.
    void request_drain();

    /// Ends the connection, because others need its descriptor, unless a request is being served.
    /// Thread-safe.
    void request_eviction();

    /// Ends the connection now, as the grace period of a stop has ended. A request without a
    /// response is answered, a response that has begun ends incomplete. Thread-safe.
    void request_cut();

    [[nodiscard]] bool is_current(const attempt_id& attempt) const override;
    [[nodiscard]] bool on_answer_started(const attempt_id& attempt) override;
    boost::asio::awaitable<bool> write_to_caller(boost::asio::const_buffer buf) override;

private:
    boost::asio::awaitable<void> serve_requests();
    /// Reports the failure, ends the attempt, and answers the request if nothing has been sent.
    boost::asio::awaitable<void> on_failure(std::exception_ptr error);
    boost::asio::awaitable<bool> await_first_byte();
    /// Reads the next request into `held_`. False if there is none.
    boost::asio::awaitable<bool> read_request();
    boost::asio::awaitable<std::optional<request_failure>> receive(const http_limits& limits);
    boost::asio::awaitable<void> serve();
    /// Responds without an endpoint: readiness, metrics and the like.
    boost::asio::awaitable<void> serve_local(unsigned status, std::string text);
    boost::asio::awaitable<void> route(caller_request req);
    boost::asio::awaitable<void> watch_caller(std::shared_ptr<request_exchange> ex);
    /// Writes an error response to a request that was rejected before routing.
    boost::asio::awaitable<void> refuse_early(error_kind kind, std::string message);
    boost::asio::awaitable<void> write_error(error_kind kind, std::string message);
    boost::asio::awaitable<void>
    write_answer(unsigned status, std::string type, std::string body, std::uint32_t retry_after_s);
    void start_attempt(const send_attempt& action);
    void record_outcome(std::string outcome);
    void on_caller_disconnected();
    void drain();
    void cut();
    void report_cut();
    /// Keeps the first cause of the end of the connection.
    void note_end(session_end end) { end_ = end_.value_or(end); }

    boost::asio::ip::tcp::socket socket_;
    frontend_services& services_;
    caller_reader reader_;
    socket_deadline write_deadline_;
    socket_deadline close_deadline_; ///< A write may still be pending when the connection ends.
    std::shared_ptr<request_exchange> exchange_; ///< Of the current request; null between requests.
    std::shared_ptr<endpoint_attempt> attempt_;  ///< Null between attempts.
    std::shared_ptr<held_request> held_;         ///< Current request; null between requests.
    std::optional<caller_request> request_;      ///< The same, after it was accepted for routing.
    request_record record_;
    time_point accepted_at_; ///< When the current request was read.
    bool keep_alive_{true};
    bool is_head_request_{false};  ///< The current request has the method HEAD.
    bool idle_{true};              ///< Between two requests.
    bool response_started_{false}; ///< Bytes of the current response may have been sent.
    bool caller_disconnected_{false};
    std::optional<session_end> end_; ///< Empty while the connection goes on.
};

} // namespace mangovane

#endif
