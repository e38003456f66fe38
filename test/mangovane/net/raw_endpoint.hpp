// Endpoint whose connections the thread of a test accepts, reads and answers step by step.
#ifndef MANGOVANE_TEST_NET_RAW_ENDPOINT_HPP
#define MANGOVANE_TEST_NET_RAW_ENDPOINT_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace mangovane::test
{

class raw_endpoint
{
public:
    using socket = boost::asio::ip::tcp::socket;

    explicit raw_endpoint(int backlog = boost::asio::socket_base::max_listen_connections)
    {
        const boost::asio::ip::tcp::endpoint any{boost::asio::ip::make_address("127.0.0.1"), 0};
        acceptor_.open(any.protocol());
        acceptor_.bind(any);
        acceptor_.listen(backlog);
        address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    [[nodiscard]] socket accept() { return acceptor_.accept(); }

    /// Accepts a connection that arrives within the time.
    [[nodiscard]] std::optional<socket> accept_within(std::chrono::milliseconds time)
    {
        pollfd state{acceptor_.native_handle(), POLLIN, 0};
        const bool arrived = ::poll(&state, 1, static_cast<int>(time.count())) == 1;
        return arrived ? std::optional{acceptor_.accept()} : std::nullopt;
    }

    /// Accepts a connection and reads the head of its request.
    [[nodiscard]] socket accept_request()
    {
        auto result = acceptor_.accept();
        std::string head;
        boost::asio::read_until(result, boost::asio::dynamic_buffer(head), "\r\n\r\n");
        return result;
    }

    void close() { acceptor_.close(); }

private:
    boost::asio::io_context io_{1};
    boost::asio::ip::tcp::acceptor acceptor_{io_};
    std::string address_;
};

inline void send(raw_endpoint::socket& to, std::string_view bytes)
{
    boost::asio::write(to, boost::asio::buffer(bytes.data(), bytes.size()));
}

/// Reads until the other side ends the connection.
inline std::string read_all(raw_endpoint::socket& from)
{
    std::string result;
    boost::system::error_code ec;
    boost::asio::read(from, boost::asio::dynamic_buffer(result), ec);
    return result;
}

inline std::string read_all(raw_endpoint::socket&& from)
{
    return read_all(from);
}

/// An endpoint whose queue of connections is full: the kernel drops further connection requests,
/// and sends them again 1 s later. A connection is then made, or refused, without any action of the
/// process that connects.
class full_endpoint : public raw_endpoint
{
public:
    full_endpoint() : raw_endpoint{0}
    {
        const auto colon = address().find(':');
        const auto port = static_cast<std::uint16_t>(std::stoi(address().substr(colon + 1)));
        waiting_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    /// Makes room for the next connection.
    void make_room() { accepted_ = accept(); }

private:
    boost::asio::io_context io_{1};
    socket waiting_{io_}; ///< Fills the queue.
    std::optional<socket> accepted_;
};

} // namespace mangovane::test

#endif
