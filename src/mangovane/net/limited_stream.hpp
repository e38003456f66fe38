// Connection of a listener that serves few callers at a time.
#ifndef MANGOVANE_NET_LIMITED_STREAM_HPP
#define MANGOVANE_NET_LIMITED_STREAM_HPP

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "mangovane/net/connection_limit.hpp"

namespace mangovane
{

/// Is closed when a new connection needs its place. Used on the executor of its socket.
class limited_stream
{
public:
    /// Null if there is no place for the connection, which is then closed.
    [[nodiscard]] static std::shared_ptr<limited_stream>
    open(std::shared_ptr<connection_limit> limit, boost::asio::ip::tcp::socket socket)
    {
        const auto result = std::make_shared<limited_stream>(std::move(limit), std::move(socket));
        const auto on_evicted = [weak = std::weak_ptr{result}]
        {
            if (const auto it = weak.lock())
            {
                boost::asio::post(it->stream_.get_executor(), [it] { it->stream_.close(); });
            }
        };
        result->place_ = result->limit_->admit(on_evicted, clock::now());
        return result->place_ ? result : nullptr;
    }

    /// Use `open`.
    limited_stream(std::shared_ptr<connection_limit> limit, boost::asio::ip::tcp::socket socket)
        : limit_{std::move(limit)}, stream_{std::move(socket)}
    {}

    [[nodiscard]] boost::beast::tcp_stream& stream() noexcept { return stream_; }

    /// A response has been sent; the connection is kept.
    void on_answered() { place_->enter(connection_phase::idle, clock::now()); }

private:
    std::shared_ptr<connection_limit> limit_; ///< Outlives `place_`.
    boost::beast::tcp_stream stream_;
    std::optional<connection_place> place_;
};

} // namespace mangovane

#endif
