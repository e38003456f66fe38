// A caller: sends requests to one router after the other on connections that it keeps open, and
// records what it sees.
#ifndef MANGOVANE_SOAK_CALLER_HPP
#define MANGOVANE_SOAK_CALLER_HPP

#include <atomic>
#include <memory>
#include <optional>
#include <random>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "soak/deployment.hpp"

namespace mangovane::soak
{

/// What a caller does.
struct caller_habits
{
    std::size_t number{0};
    std::uint64_t seed{1};
    std::optional<std::size_t> probes; ///< Only probes this router's configuration.

    auto operator<=>(const caller_habits&) const = default;
};

class caller : public std::enable_shared_from_this<caller>
{
public:
    /// All references outlive the caller.
    caller(boost::asio::io_context& io,
           const caller_habits& habits,
           deployment& fleet,
           history& seen,
           const std::atomic<bool>& stopping)
        : io_{io}, habits_{habits}, fleet_{fleet}, seen_{seen}, stopping_{stopping},
          random_{habits.seed}
    {}

    /// Starts to call, until told to stop.
    void start();

    /// Whether its last call has ended.
    [[nodiscard]] bool ended() const noexcept { return ended_; }

private:
    using stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> connect(stream& conn, std::size_t router);
    boost::asio::awaitable<bool> call(stream& conn, call_record record);
    boost::asio::awaitable<bool> read_answer(stream& conn, call_record& record);
    boost::asio::awaitable<void> pause(milliseconds time);
    [[nodiscard]] call_kind pick_kind();
    [[nodiscard]] std::size_t pick(std::size_t count);

    boost::asio::io_context& io_;
    const caller_habits habits_;
    deployment& fleet_;
    history& seen_;
    const std::atomic<bool>& stopping_;
    std::mt19937_64 random_;
    boost::beast::flat_buffer buffer_;
    std::uint64_t calls_{0};
    std::atomic<bool> ended_{false};
};

} // namespace mangovane::soak

#endif
