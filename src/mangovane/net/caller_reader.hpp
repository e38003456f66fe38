// Reading side of a caller's connection: waits for requests, ends the waits in time, and gives the
// place and the memory of the connection up when others need them.
#ifndef MANGOVANE_NET_CALLER_READER_HPP
#define MANGOVANE_NET_CALLER_READER_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/error.hpp>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/net/caller_resources.hpp"
#include "mangovane/net/charged_buffer.hpp"
#include "mangovane/net/peek.hpp"
#include "mangovane/net/session_end.hpp"
#include "mangovane/net/socket_deadline.hpp"

namespace mangovane
{

/// Why a request was not read, and what the caller is told.
struct request_failure
{
    std::optional<error_kind> refusal; ///< Empty: the connection ends without a response.
    std::string reason;                ///< For the response.
    session_end end{session_end::read_failed};

    auto operator<=>(const request_failure&) const = default;
};

/// Used by the sessions of both front ends. All functions are called on the socket's executor,
/// which must be a strand. `owner` keeps the session, and with it the socket and the reader, alive
/// while an operation is pending.
class caller_reader
{
public:
    using owner_ptr = std::shared_ptr<void>;

    /// The socket outlives the reader.
    caller_reader(boost::asio::ip::tcp::socket& socket,
                  std::shared_ptr<caller_resources> resources);

    /// Takes a place among the open connections. False: there is none, and the connection has to be
    /// closed. `on_evicted` is called from any thread when the connection should call `evict`.
    [[nodiscard]] bool open(connection_limit::evict_handler on_evicted);

    [[nodiscard]] boost::asio::ip::tcp::socket& socket() noexcept { return socket_; }

    /// Memory of the connection's requests.
    [[nodiscard]] const std::shared_ptr<request_share>& memory() const noexcept { return memory_; }

    /// Bytes that were read ahead.
    [[nodiscard]] charged_buffer& buffer() noexcept { return buffer_; }

    /// Waits for the first byte of the next request. False if none arrived until the idle deadline,
    /// or for `first_request_wait` while the instance stops, or if the connection was evicted.
    boost::asio::awaitable<bool> await_first_byte(time_point idle_deadline, owner_ptr owner);

    /// Why `await_first_byte` has returned false.
    [[nodiscard]] session_end end_of_wait() const noexcept;

    /// Starts the deadline for the next part of a request; the pending read then fails with
    /// `operation_aborted`. Call `stop_deadline` when the read has ended.
    void start_deadline(time_point at, const owner_ptr& owner);
    void stop_deadline();

    /// Reads until the buffer holds the end of a head, or bytes that cannot begin one. The bytes
    /// are not parsed before, because the parsed fields take up to 20 times as much memory. Errors:
    /// `header_limit` for a head of more than `limit` bytes, `end_of_stream`, `partial_message`.
    boost::asio::awaitable<boost::system::error_code> read_head_bytes(std::size_t limit);

    /// Reads at most `n` bytes into the buffer. Errors: `no_memory` if the share does not get them,
    /// `buffer_overflow` if the buffer is full, and those of the socket.
    boost::asio::awaitable<boost::system::error_code> read_some(std::size_t n);

    /// Parses a head that `read_head_bytes` has read, without a suspension.
    template <class Parser>
    [[nodiscard]] boost::system::error_code parse_head(Parser& parser)
    {
        boost::system::error_code ec;
        parser.eager(false);
        while (!ec && !parser.is_header_done())
        {
            buffer_.consume(parser.put(buffer_.data(), ec));
        }
        return ec == boost::beast::http::error::need_more
                   ? boost::beast::http::make_error_code(boost::beast::http::error::bad_method)
                   : ec;
    }

    /// What a failed read of a request means; `begun`: a part of the request had arrived. Empty if
    /// `ec` is no error.
    [[nodiscard]] std::optional<request_failure> failure_of(const boost::system::error_code& ec,
                                                            bool begun) const;

    /// Records that a request has been read, before it is served. A failure if the process has no
    /// descriptor for its endpoint.
    [[nodiscard]] std::optional<request_failure> begin_serving();
    [[nodiscard]] std::uint32_t requests() const noexcept { return requests_; }

    /// The instance stops: an idle connection ends, one that was never used after
    /// `first_request_wait`. A request that has arrived, even in part, is read.
    void drain(const owner_ptr& owner);
    [[nodiscard]] bool draining() const noexcept { return draining_; }

    /// The caller accepts no more of what is written for now.
    void begin_stall();
    /// The write goes on, or has ended.
    void end_stall();

    /// Why the connection ends after a failed write.
    [[nodiscard]] session_end end_of_failed_write() const noexcept
    {
        return evicted_ ? session_end::evicted : session_end::write_failed;
    }

    /// The last response has been sent.
    void begin_closing();

    /// Frees what was read of a request that is given up.
    void drop_request();

    /// Ends the connection for others, unless it has become busy meanwhile: an unfinished request
    /// fails with `operation_aborted`, and so does a write that has stalled.
    void evict();

    /// Ends the pending wait or read, and those that follow, as the grace period of a stop has
    /// ended. What has arrived by now is still read.
    void cut(const owner_ptr& owner);

    /// Whether bytes of the caller were not read.
    [[nodiscard]] bool has_unread_bytes()
    {
        return dropped_ || buffer_.size() != 0 || peek(socket_) == peek_result::data;
    }

private:
    /// The first byte of a request has arrived.
    void begin_request(time_point now);
    void start_idle_deadline(time_point at, owner_ptr owner);
    void start_read_deadline(time_point at, const owner_ptr& owner);
    void cancel();
    void close();
    /// Whether bytes of the caller, or the end of its connection, have arrived and were not read.
    [[nodiscard]] bool has_arrived() { return peek(socket_) != peek_result::no_data; }

    boost::asio::ip::tcp::socket& socket_;
    socket_deadline deadline_;
    std::shared_ptr<caller_resources> resources_;
    std::optional<connection_place> place_; ///< Set by `open`.
    std::shared_ptr<request_share> memory_; ///< Never null.
    charged_buffer buffer_;
    std::uint32_t requests_{0};
    bool waiting_{false}; ///< `await_first_byte` is pending; `buffer_` is empty.
    bool reading_{false}; ///< Between `start_deadline` and `stop_deadline`.
    bool draining_{false};
    bool cut_{false};
    bool closing_{false};
    std::optional<connection_phase> stalled_in_; ///< Phase in which a write has stalled.
    bool evicted_{false};
    bool dropped_{false}; ///< Bytes of a request that is given up were not read.
};

} // namespace mangovane

#endif
