// HTTP connection of a caller on routes: reads requests and executes the steps of their flows.
#ifndef MANGOVANE_NET_FORWARD_SESSION_HPP
#define MANGOVANE_NET_FORWARD_SESSION_HPP

#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "mangovane/net/caller_reader.hpp"
#include "mangovane/net/event_boundary.hpp"
#include "mangovane/net/forward_services.hpp"
#include "mangovane/net/held_request.hpp"
#include "mangovane/net/http_serialization.hpp"
#include "mangovane/net/session_end.hpp"
#include "mangovane/net/socket_deadline.hpp"
#include "mangovane/net/sse_splitter.hpp"
#include "mangovane/net/upstream_call.hpp"

namespace mangovane
{

class request_reader;

namespace internal
{

/// A response of an endpoint that has not been relayed yet.
struct buffered_response
{
    response_head head;
    byte_reservation reservation; ///< Covers the body.
    std::string body;
};

/// What reading a response body into memory resulted in.
enum class held_body : std::uint8_t
{
    complete,
    oversized, ///< A first part was read; the rest is too large to hold.
    broken,    ///< The connection ended early.
};

/// What became of bytes of a stream.
enum class relayed_events : std::uint8_t
{
    some,   ///< At least one event has been sent to the caller.
    none,   ///< No event is complete yet.
    failed, ///< The caller has disconnected, or the stream cannot be continued.
};

/// State of the request that is being served.
struct served_request
{
    explicit served_request(std::shared_ptr<request_share> memory) noexcept
        : held{std::move(memory)}
    {}

    held_request held;
    std::string request_id; ///< For logs.
    std::optional<forward_flow> flow;
    std::optional<buffered_response> error_response; ///< Error response of the last attempt.
    std::string endpoint_name;                       ///< Endpoint of the last attempt.
    endpoint_id endpoint;                            ///< The same.
    incarnation epoch{0};                            ///< In which the endpoint was chosen.
    boost::system::error_code endpoint_error;        ///< Why the last attempt's connection failed.
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

private:
    using error_code = boost::system::error_code;

    using current_request = internal::served_request;
    using buffered_response = internal::buffered_response;
    using held_body = internal::held_body;
    using relayed_events = internal::relayed_events;

    // Implemented in forward_session.cpp: flow steps and responses.
    boost::asio::awaitable<void> serve_requests();
    /// Reports the failure, ends the attempt, and answers the request if nothing has been sent.
    boost::asio::awaitable<void> on_failure(std::exception_ptr error);
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<bool> execute_step(const forward_step& step, forward_step& next);
    boost::asio::awaitable<void>
    refuse(error_kind kind, std::string message, milliseconds retry_after);
    boost::asio::awaitable<bool> write_to_caller(std::string bytes);
    /// Waits until the caller accepts more data or has disconnected. Returns false if neither
    /// happened until the deadline.
    boost::asio::awaitable<bool> await_writable(time_point write_deadline);
    void on_caller_stall(time_point since);
    boost::asio::awaitable<bool> write_buffered(const buffered_response& answer);
    void watch_caller();
    void on_caller_disconnected();
    void record_outcome(std::string_view outcome);
    /// Records why the connection ends; the first cause counts.
    void note_end(session_end end);
    /// Counts the end of the connection, and logs it if it was not in order or if bytes of the
    /// caller were not read.
    void report_end();
    /// Logs why a request is refused, if a part of its prompt is quarantined.
    void log_quarantine(const refuse_step& step) const;
    void cut();
    void report_cut();
    [[nodiscard]] bool keep_alive() const;

    // Implemented in forward_read.cpp: reading of requests.
    boost::asio::awaitable<bool> read_request();
    /// Reads the head and the body of the current request.
    boost::asio::awaitable<std::optional<request_failure>> receive(const http_limits& limits);
    boost::asio::awaitable<error_code> read_body(request_reader& request);
    boost::asio::awaitable<bool> await_first_byte(const http_limits& limits);

    // Implemented in forward_wait.cpp: waits for admission.
    boost::asio::awaitable<forward_step> await_turn(const wait_step& step);
    /// Forgets the wait that has ended, if there was one.
    void leave_wait();
    /// Ends a wait, if there is one.
    void wake() const;
    void log_wait(const wait_step& step) const;
    void log_admission_refusal(const refuse_step& step) const;
    /// What the lines of waits and refusals have in common.
    [[nodiscard]] std::string admission_text() const;

    // Implemented in forward_attempt.cpp: attempts at endpoints.
    boost::asio::awaitable<attempt_result> attempt(const send_step& step);
    /// What the end of the current attempt's connection means. Finds out once per attempt.
    boost::asio::awaitable<end_verdict> check_end();
    boost::asio::awaitable<attempt_result> read_answer(const send_step& step);
    /// Passes on what the endpoint states about itself in the head of its response.
    void note_endpoint(const send_step& step);
    /// Result of an attempt whose connection ended early: the caller disconnected, a timeout, or
    /// else `fallback`.
    [[nodiscard]] attempt_result early_end_result(attempt_result fallback) const;
    [[nodiscard]] std::string upstream_head_text(const send_step& step) const;
    /// Starts the deadline after which the call is closed or replaced.
    void start_call_deadline(time_point at);
    /// Starts the deadline again after a wait for the caller.
    void resume_call_deadline();
    /// Starts the deadline for the next event of a stream, or the next bytes of another response.
    void start_progress_deadline(const send_step& step);
    void on_call_deadline();
    void log_dispatch(const send_step& step) const;
    void log_end(const end_verdict& verdict) const;
    void log_result(const send_step& step, attempt_result result) const;

    // Implemented in forward_relay.cpp: relay of responses.
    boost::asio::awaitable<attempt_result> read_failure();
    boost::asio::awaitable<attempt_result> relay_buffered(const send_step& step);
    /// Whether a response that has been read to its end is complete. The kernel closes the
    /// connections of a process that ends in the same way as the process does after a response, so
    /// an end that only the connection tells is judged by what is known of the process.
    boost::asio::awaitable<bool> is_complete();
    /// Reads the body into memory. With `step`, each part extends the time for the next one.
    boost::asio::awaitable<held_body> hold_body(buffered_response& answer,
                                                const send_step* step = nullptr);
    /// Relays a response that is too large to hold, whose first part has been read.
    boost::asio::awaitable<attempt_result> relay_oversized(const buffered_response& answer);
    boost::asio::awaitable<attempt_result> relay_stream(const send_step& step);
    boost::asio::awaitable<relayed_events> relay_events(std::string_view bytes);
    boost::asio::awaitable<attempt_result> end_stream(const event_boundary& boundary);
    /// Reads a part of the response; records an error for the log.
    boost::asio::awaitable<error_code> read_part(std::span<char> buf, std::size_t& n);
    /// Head of a response that is relayed while it is being read; from then on it can only be
    /// continued.
    [[nodiscard]] std::string begin_response(response_head head, const body_framing& framing);

    boost::asio::ip::tcp::socket socket_;
    forward_services& services_;
    caller_reader reader_;
    socket_deadline write_deadline_;         ///< For data that the caller has to accept.
    socket_deadline call_deadline_;          ///< For the current attempt.
    std::shared_ptr<upstream_call> call_;    ///< Null between attempts.
    std::shared_ptr<admission_wait> wait_;   ///< Null unless a request waits for admission.
    std::optional<current_request> current_; ///< Empty between requests.
    std::optional<end_verdict> end_verdict_; ///< See `check_end`; empty: not known yet.
    time_point call_timeout_at_{};           ///< When `call_deadline_` expires.
    std::optional<session_end> end_;         ///< Why the connection ends; empty while it goes on.
    bool timed_out_{false};                  ///< `call_deadline_` has closed the call.
    std::uint64_t watch_{0};                 ///< Number of the current `watch_caller`.
    bool write_expired_{false};              ///< `write_deadline_` has ended the last wait.
    bool caller_disconnected_{false};
    bool keep_alive_{true};
};

} // namespace mangovane

#endif
