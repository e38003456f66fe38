// One attempt at an endpoint: its own connection, its own id, and the relay of the answer to the
// caller.
#ifndef MANGOVANE_NET_ENDPOINT_ATTEMPT_HPP
#define MANGOVANE_NET_ENDPOINT_ATTEMPT_HPP

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "mangovane/net/caller_request.hpp"
#include "mangovane/net/frontend_services.hpp"

namespace mangovane
{

/// Where the answer of an attempt goes. Implemented by the caller's session.
class response_sink
{
public:
    virtual ~response_sink() = default;
    /// The attempt whose answer may go to the caller; an answer of another is dropped.
    [[nodiscard]] virtual bool is_current(const attempt_id& attempt) const = 0;
    /// Called before the first byte goes to the caller.
    virtual void on_answer_started(const attempt_id& attempt) = 0;
    /// Stream of the caller; null once the caller has left.
    [[nodiscard]] virtual boost::beast::tcp_stream* caller() = 0;
    virtual void on_caller_lost() = 0;
};

/// What an attempt is made from.
struct attempt_parameters
{
    send_attempt action;
    http_request request;
    bool idempotent{false};
    bool keep_answer{false}; ///< The answer is stored with a claim.
    bool keep_alive{true};   ///< Of the caller's connection.
    std::string affinity;    ///< Token for the caller; empty: none.
    time_point deadline;
};

class endpoint_attempt : public std::enable_shared_from_this<endpoint_attempt>
{
public:
    endpoint_attempt(boost::asio::any_io_executor executor,
                     attempt_parameters order,
                     response_sink& sink,
                     const frontend_limits& limits);

    /// Runs the attempt to its end. The sink outlives it.
    boost::asio::awaitable<attempt_ended> run();

    /// Closes the connection; `run` ends soon after.
    void abort();

    [[nodiscard]] const attempt_id& id() const noexcept { return order_.action.attempt; }

    /// Whether the answer carried another attempt's id.
    [[nodiscard]] bool crossed() const noexcept { return crossed_; }

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<bool> send();
    boost::asio::awaitable<bool> read_header();
    boost::asio::awaitable<void> relay();
    boost::asio::awaitable<void> relay_body(bool to_caller);
    boost::asio::awaitable<bool> write_caller(boost::asio::const_buffer buf);
    [[nodiscard]] bool is_usable();
    [[nodiscard]] std::string answer_header() const;
    void keep(const char* data, std::size_t n);

    attempt_parameters order_;
    response_sink& sink_;
    const frontend_limits& limits_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    parser parser_;
    attempt_ended result_;
    claim_outcome stored_;
    time_point sent_at_;
    bool crossed_{false};
    bool aborted_{false};
    bool chunked_{false}; ///< The caller is answered in chunks, as the endpoint answers.
};

} // namespace mangovane

#endif
