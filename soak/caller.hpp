// Client of the soak: sends requests to randomly chosen routers over persistent connections and
// records the results.
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

struct caller_options
{
    std::size_t number{0};
    std::uint64_t seed{1};
    /// If set, the caller only probes the configuration of this router.
    std::optional<std::size_t> probed_router;
    /// The probes also ask for what the configuration in force has removed.
    bool probes_removed{false};
    /// If set, all connections go to this router.
    std::optional<std::size_t> home_router{};
    /// Sends requests with long work, and uses its connections again at once for as long as the
    /// router keeps them open.
    bool long_work{false};
    milliseconds start_delay{0};
    /// Connections to make; empty: until the run stops.
    std::optional<std::size_t> max_connections{};
    std::size_t calls_per_connection{25};
    std::size_t idle_percent{0}; ///< Share of waits in which the connection is idle for longer.

    auto operator<=>(const caller_options&) const = default;
};

class caller : public std::enable_shared_from_this<caller>
{
public:
    /// The referenced objects must outlive the caller.
    caller(boost::asio::io_context& io,
           const caller_options& options,
           deployment& fleet,
           observation_recorder& recorder,
           const std::atomic<bool>& stopping)
        : io_{io}, options_{options}, fleet_{fleet}, recorder_{recorder}, stopping_{stopping},
          random_{options.seed}
    {}

    /// Sends requests until `stopping` is set.
    void start();

    /// Whether the last call has ended after `stopping` was set.
    [[nodiscard]] bool ended() const noexcept { return ended_; }

private:
    using stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> connect(stream& conn, std::size_t router);
    boost::asio::awaitable<bool> call(stream& conn, call_record record);
    /// Sends bytes that are no acceptable request, and reads the response.
    boost::asio::awaitable<void> send_malformed(stream& conn);
    /// Writes a request in pieces, with a wait after each.
    boost::asio::awaitable<boost::beast::error_code>
    write_in_pieces(stream& conn, const std::string& text, call_record& record);
    [[nodiscard]] std::size_t pick_router();
    boost::asio::awaitable<bool> read_response(stream& conn, call_record& record);
    boost::asio::awaitable<void> pause(milliseconds time);
    [[nodiscard]] call_kind pick_kind();
    /// The next probe: of the newest configuration, or of what it has removed.
    [[nodiscard]] call_record make_probe();
    /// Time between two calls of a connection.
    [[nodiscard]] milliseconds pick_wait();
    [[nodiscard]] std::size_t pick(std::size_t count);

    boost::asio::io_context& io_;
    const caller_options options_;
    deployment& fleet_;
    observation_recorder& recorder_;
    const std::atomic<bool>& stopping_;
    std::mt19937_64 random_;
    boost::beast::flat_buffer buffer_;
    std::uint64_t calls_{0};
    std::atomic<bool> ended_{false};
};

} // namespace mangovane::soak

#endif
