// Implementation of the graceful close.
#include "mangovane/net/graceful_close.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/net/peek.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t drop_buffer_bytes = std::size_t{2} * 1024;

/// The kernel gives no notice when a peer has received everything.
constexpr milliseconds receipt_check_period{20};

/// The end of the sending side counts as one byte until the peer has received it.
constexpr int end_bytes = 1;

/// Bytes that were written and that the peer's kernel has not acknowledged; 0 if the socket is
/// closed.
int unreceived_bytes(asio::ip::tcp::socket& socket)
{
    int result = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &result) == 0 ? result : 0;
}

/// Whether a peer still receives what was written to it.
class receipt_progress
{
public:
    explicit receipt_progress(asio::ip::tcp::socket& socket) : socket_{socket} {}

    [[nodiscard]] bool is_waiting(time_point now)
    {
        const auto unreceived = unreceived_bytes(socket_);
        if (unreceived < unreceived_)
        {
            unreceived_ = unreceived;
            progress_at_ = now;
        }
        return unreceived > end_bytes && now < progress_at_ + receipt_stall_timeout;
    }

private:
    asio::ip::tcp::socket& socket_;
    int unreceived_{unreceived_bytes(socket_)};
    time_point progress_at_{clock::now()};
};

/// What the deadline of a close needs; kept alive by its handlers.
struct close_state
{
    asio::ip::tcp::socket& socket;
    socket_deadline& deadline;
    std::shared_ptr<void> owner;
    bool awaits_receipt;
    receipt_progress receipt{socket};
};

void start_close_deadline(const std::shared_ptr<close_state>& state, time_point at)
{
    state->deadline.start(
        at, [state] { return peek(state->socket) != peek_result::no_data; },
        [state]
        {
            const auto now = clock::now();
            if (state->awaits_receipt && state->receipt.is_waiting(now))
            {
                start_close_deadline(state, now + receipt_check_period);
                return;
            }
            boost::system::error_code ignored;
            state->socket.close(ignored);
        });
}

} // namespace

asio::awaitable<void> graceful_close(asio::ip::tcp::socket& socket,
                                     socket_deadline& deadline,
                                     time_point give_up_at,
                                     bool awaits_receipt,
                                     std::shared_ptr<void> owner)
{
    boost::system::error_code ec;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    const auto state = std::make_shared<close_state>(
        close_state{socket, deadline, std::move(owner), awaits_receipt});
    start_close_deadline(state, give_up_at);
    std::array<char, drop_buffer_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    std::size_t dropped = 0;
    while (!ec && dropped < max_dropped_bytes)
    {
        dropped += co_await socket.async_read_some(asio::buffer(buf),
                                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    deadline.stop();
    socket.close(ec);
}

asio::awaitable<void> await_receipt(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    receipt_progress receipt{socket};
    asio::steady_timer timer{socket.get_executor()};
    while (!ec && peek(socket) != peek_result::closed && receipt.is_waiting(clock::now()))
    {
        timer.expires_after(receipt_check_period);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace mangovane
