// One attempt to serve a request at an endpoint, on a connection and with an attempt id of its own.
#ifndef MANGOVANE_NET_ENDPOINT_ATTEMPT_HPP
#define MANGOVANE_NET_ENDPOINT_ATTEMPT_HPP

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "mangovane/net/caller_request.hpp"
#include "mangovane/net/final_head.hpp"
#include "mangovane/net/frontend_services.hpp"
#include "mangovane/net/held_request.hpp"
#include "mangovane/net/timed_socket.hpp"
#include "mangovane/net/watched_connection.hpp"

namespace mangovane
{

/// Receives the response of an attempt. Implemented by the caller's session.
class response_sink
{
public:
    virtual ~response_sink() = default;
    /// Whether the response of this attempt may be sent to the caller; others are dropped.
    [[nodiscard]] virtual bool is_current(const attempt_id& attempt) const = 0;
    /// Called before the first byte is sent to the caller. False if the request has ended, so that
    /// nothing may be sent.
    [[nodiscard]] virtual bool on_answer_started(const attempt_id& attempt) = 0;
    /// Sends a part of the response; false if the caller has disconnected.
    virtual boost::asio::awaitable<bool> write_to_caller(boost::asio::const_buffer buf) = 0;
};

/// Request of an attempt, and how its response is handled.
struct attempt_parameters
{
    send_attempt action;
    std::shared_ptr<const held_request> request; ///< Null once it has been written.
    std::string target;                          ///< Request target at the endpoint.
    bool head_only{false};                       ///< The response has no body.
    bool idempotent{false};
    bool store_response{false}; ///< Store the response with the idempotency claim.
    bool keep_alive{true};      ///< Keep the caller's connection open after the response.
    std::string affinity;       ///< Affinity token for the caller; empty: none.
    time_point deadline;
};

/// Connects, sends the request and relays the response to the sink.
class endpoint_attempt : public std::enable_shared_from_this<endpoint_attempt>
{
public:
    endpoint_attempt(const boost::asio::any_io_executor& executor,
                     attempt_parameters params,
                     response_sink& sink,
                     const frontend_services& services);

    /// Runs the attempt to completion. The sink and the services outlive it.
    boost::asio::awaitable<attempt_ended> run();

    /// Closes the connection, which makes `run` return.
    void abort();

    [[nodiscard]] const attempt_id& id() const noexcept { return params_.action.attempt; }

    /// Address of the endpoint.
    [[nodiscard]] const std::string& address() const noexcept { return params_.action.address; }

    /// HTTP status of the endpoint's response; 0 if its head has not been read.
    [[nodiscard]] unsigned status() const { return parser_ ? parser_->get().result_int() : 0; }

    /// What is known of the attempt so far.
    [[nodiscard]] const attempt_ended& result() const noexcept { return result_; }

    /// Whether the response carried the id of another attempt.
    [[nodiscard]] bool attempt_mismatch() const noexcept { return attempt_mismatch_; }

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<bool> send();
    boost::asio::awaitable<bool> read_header();
    boost::asio::awaitable<void> relay();
    boost::asio::awaitable<void> relay_body(bool to_caller);
    boost::asio::awaitable<bool> write_to_caller(boost::asio::const_buffer buf);
    /// Whether a response that has been read to its end is complete: an end that only the
    /// connection tells is judged by what is known of the process.
    boost::asio::awaitable<bool> is_complete();
    /// Whether an operation was successful and the attempt may go on.
    [[nodiscard]] bool may_continue(const boost::system::error_code& ec);
    [[nodiscard]] bool is_usable();
    [[nodiscard]] std::string request_head_text() const;
    [[nodiscard]] std::string response_head_text() const;
    void append_to_stored(const char* data, std::size_t n);

    attempt_parameters params_;
    response_sink& sink_;
    const frontend_services& services_;
    watched_connection watched_;
    std::shared_ptr<timed_socket> socket_; ///< Never null.
    boost::beast::flat_buffer buffer_{max_response_section_bytes};
    std::optional<endpoint_response_parser> parser_;
    attempt_ended result_;
    claim_outcome stored_response_;
    time_point sent_at_;
    bool attempt_mismatch_{false};
    bool aborted_{false};
    bool chunked_{false}; ///< The response is relayed with chunked transfer coding.
};

} // namespace mangovane

#endif
