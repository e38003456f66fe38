// HTTP server of the stand-ins: one coroutine per connection, one handler for all paths.
#ifndef MANGOVANE_STANDIN_HTTP_HOST_HPP
#define MANGOVANE_STANDIN_HTTP_HOST_HPP

#include <chrono>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace mangovane::standin
{

using request = boost::beast::http::request<boost::beast::http::string_body>;

/// Writes the response of a handler to its connection.
class reply
{
public:
    explicit reply(boost::beast::tcp_stream& stream) : stream_{stream} {}

    /// Writes a response with `Content-Length`.
    boost::asio::awaitable<void>
    send(unsigned status, std::string body, std::string type = "application/json");

    /// Starts a chunked response; a non-empty `attempt` is echoed as the attempt id.
    boost::asio::awaitable<bool>
    start_chunks(unsigned status, std::string type, std::string attempt);
    boost::asio::awaitable<bool> chunk(std::string data);
    boost::asio::awaitable<bool> end_chunks();

    /// Starts a response without a length, which `close` ends. Its parts are written by `raw`.
    boost::asio::awaitable<bool> start_until_close(unsigned status, std::string type);

    /// Writes bytes without HTTP framing.
    boost::asio::awaitable<bool> raw(std::string bytes);

    /// Suspends the handler without blocking the thread.
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    /// Like `pause`, but ends early if the peer closes its connection, which is then not open.
    boost::asio::awaitable<void> pause_while_connected(std::chrono::milliseconds time);

    /// Adds a header field to the responses that follow.
    void add_field(const std::string& name, const std::string& value);

    /// Resets the connection without a response.
    void reset();

    /// Ends the connection in order after what has been written.
    boost::asio::awaitable<void> close();

    [[nodiscard]] bool open() const noexcept { return open_; }
    void set_attempt(std::string attempt) { attempt_ = std::move(attempt); }

private:
    boost::asio::awaitable<bool> write(std::string data);

    boost::beast::tcp_stream& stream_;
    std::string attempt_; ///< Echoed by `send` when not empty.
    std::string fields_;  ///< Additional header fields.
    bool open_{true};
};

using handler = std::function<boost::asio::awaitable<void>(const request&, reply&)>;

/// Serves on `ip:port` with one thread until SIGTERM or SIGINT. Returns the exit code.
int serve(const std::string& address, const handler& handle);

/// Serves on the acceptor's context, for processes that host several servers.
boost::asio::awaitable<void> accept_all(boost::asio::ip::tcp::acceptor& acceptor,
                                        const handler& handle);

} // namespace mangovane::standin

#endif
