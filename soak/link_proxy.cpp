// Implementation of the link proxy.
#include "soak/link_proxy.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "mangovane/net/address.hpp"

namespace mangovane::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Interval at which a held direction rechecks the condition.
constexpr milliseconds hold_poll_interval{20};
constexpr std::size_t buffer_bytes = 16384;

asio::awaitable<void> pause(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace

struct link_proxy::shared_state
{
    shared_state(asio::io_context& context, const tcp::endpoint& listen, const tcp::endpoint& to)
        : io{context}, acceptor{asio::make_strand(context), listen}, target{to}
    {}

    [[nodiscard]] link_condition condition() const
    {
        const std::lock_guard lock{mutex};
        return current;
    }

    /// Returns the open connections and drops the expired ones.
    std::vector<std::shared_ptr<relay>> open_relays();

    asio::io_context& io;
    tcp::acceptor acceptor;
    const tcp::endpoint target;
    mutable std::mutex mutex;
    link_condition current;                   ///< Guarded by `mutex`.
    std::vector<std::weak_ptr<relay>> relays; ///< Guarded by `mutex`.
};

/// A connection through the proxy. Runs on its strand, except for the atomic flag.
class link_proxy::relay : public std::enable_shared_from_this<relay>
{
public:
    relay(tcp::socket source, std::shared_ptr<shared_state> state)
        : source_{std::move(source)}, target_{source_.get_executor()}, state_{std::move(state)}
    {}

    [[nodiscard]] tcp::socket::executor_type executor() { return source_.get_executor(); }

    asio::awaitable<void> run()
    {
        while (state_->condition().holds_requests)
        {
            co_await pause(hold_poll_interval);
        }
        error_code ec;
        co_await target_.async_connect(state_->target,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (ec || state_->condition().refuses_connections)
        {
            reset();
            co_return;
        }
        source_.set_option(tcp::no_delay{true}, ec);
        target_.set_option(tcp::no_delay{true}, ec);
        const auto self = shared_from_this();
        asio::co_spawn(
            source_.get_executor(),
            [self]() -> asio::awaitable<void>
            { return self->pump(self->target_, self->source_, &link_condition::holds_responses); },
            asio::detached);
        co_await pump(source_, target_, &link_condition::holds_requests);
    }

    /// May be called from any thread.
    void reset_soon()
    {
        asio::post(source_.get_executor(), [self = shared_from_this()] { self->reset(); });
    }
    void stall() noexcept { stalled_ = true; }

private:
    asio::awaitable<void> pump(tcp::socket& from, tcp::socket& to, bool link_condition::*held)
    {
        std::array<char, buffer_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
        const auto self = shared_from_this();
        for (;;)
        {
            error_code ec;
            const auto n = co_await from.async_read_some(
                asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            co_await wait_while_held(held);
            if (ec && ec != asio::error::eof)
            {
                reset();
                co_return;
            }
            if (ec)
            {
                to.shutdown(tcp::socket::shutdown_send, ec);
                co_return;
            }
            inject_fault(std::string_view{buf.data(), n}, &to == &target_, buf.data() + n - 1);
            co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                       asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
            {
                reset();
                co_return;
            }
        }
    }

    /// Injects a fault that no network causes, to verify that the soak detects it.
    void inject_fault(std::string_view received, bool to_target, char* last)
    {
        const auto condition = state_->condition();
        if (to_target && condition.duplicates_requests)
        {
            asio::co_spawn(source_.get_executor(), send_duplicate(state_, std::string{received}),
                           asio::detached);
        }
        if (!to_target && condition.corrupts_responses)
        {
            *last = '#';
        }
    }

    static asio::awaitable<void> send_duplicate(std::shared_ptr<shared_state> state,
                                                std::string bytes)
    {
        tcp::socket socket{co_await asio::this_coro::executor};
        error_code ec;
        co_await socket.async_connect(state->target, asio::redirect_error(asio::use_awaitable, ec));
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, ec));
        // Reading the response keeps the connection open for the target.
        std::array<char, 1> byte{};
        while (!ec)
        {
            co_await socket.async_read_some(asio::buffer(byte),
                                            asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    /// Waits while the link delays or holds data, or the connection is stalled.
    asio::awaitable<void> wait_while_held(bool link_condition::*held)
    {
        const auto delay = state_->condition().delay;
        if (delay.count() != 0)
        {
            co_await pause(delay);
        }
        while (source_.is_open() && (stalled_ || state_->condition().*held))
        {
            co_await pause(hold_poll_interval);
        }
    }

    void reset()
    {
        error_code ec;
        for (auto* it : {&source_, &target_})
        {
            // With SO_LINGER at zero, close sends RST.
            it->set_option(asio::socket_base::linger{true, 0}, ec);
            it->close(ec);
        }
    }

    tcp::socket source_;
    tcp::socket target_;
    std::shared_ptr<shared_state> state_;
    std::atomic<bool> stalled_{false};
};

std::vector<std::shared_ptr<link_proxy::relay>> link_proxy::shared_state::open_relays()
{
    std::vector<std::shared_ptr<relay>> result;
    const std::lock_guard lock{mutex};
    std::erase_if(relays,
                  [&](const auto& it)
                  {
                      auto relay = it.lock();
                      const bool ended = relay == nullptr;
                      if (!ended)
                      {
                          result.push_back(std::move(relay));
                      }
                      return ended;
                  });
    return result;
}

link_proxy::link_proxy(asio::io_context& io, const std::string& listen, const std::string& target)
{
    const auto from = parse_address(listen);
    const auto to = parse_address(target);
    if (!from || !to)
    {
        throw std::invalid_argument{"link proxy: not two ip:port addresses: " + listen + ", " +
                                    target};
    }
    state_ = std::make_shared<shared_state>(io, *from, *to);
    address_ = from->address().to_string() + ":" +
               std::to_string(state_->acceptor.local_endpoint().port());
    asio::co_spawn(state_->acceptor.get_executor(), accept_all(state_), asio::detached);
}

link_proxy::~link_proxy()
{
    asio::post(state_->acceptor.get_executor(),
               [state = state_]
               {
                   error_code ec;
                   state->acceptor.close(ec);
               });
    reset_all();
}

asio::awaitable<void> link_proxy::accept_all(std::shared_ptr<shared_state> state)
{
    while (state->acceptor.is_open())
    {
        error_code ec;
        auto socket = co_await state->acceptor.async_accept(
            asio::make_strand(state->io), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            continue;
        }
        const auto it = std::make_shared<relay>(std::move(socket), state);
        {
            const std::lock_guard lock{state->mutex};
            state->relays.push_back(it);
        }
        if (state->condition().refuses_connections)
        {
            it->reset_soon();
            continue;
        }
        asio::co_spawn(
            it->executor(), [it]() -> asio::awaitable<void> { return it->run(); }, asio::detached);
    }
}

void link_proxy::set(link_condition condition)
{
    const std::lock_guard lock{state_->mutex};
    state_->current = condition;
}

void link_proxy::reset_all()
{
    for (const auto& it : state_->open_relays())
    {
        it->reset_soon();
    }
}

void link_proxy::stall_all()
{
    for (const auto& it : state_->open_relays())
    {
        it->stall();
    }
}

} // namespace mangovane::soak
