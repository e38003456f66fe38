// A proxy on loopback before one address: delays, holds, silences and resets its connections.
#ifndef MANGOVANE_SOAK_LINK_PROXY_HPP
#define MANGOVANE_SOAK_LINK_PROXY_HPP

#include <compare>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane::soak
{

/// State of the link, for all its connections.
struct link_condition
{
    milliseconds delay{0};   ///< Of each piece of data, in both directions.
    bool holds_forth{false}; ///< Nothing reaches the target until this ends.
    bool holds_back{false};  ///< Nothing comes back from it until this ends.
    bool refuses{false};     ///< New connections are reset.
    bool doubles{false};     ///< Planted: what goes forth is sent on a second connection as well.
    bool spoils{false};      ///< Planted: a byte of what comes back is changed.

    auto operator<=>(const link_condition&) const = default;
};

class link_proxy
{
public:
    /// Listens on `ip:port`; port 0 takes a free one. The context outlives the proxy's connections.
    link_proxy(boost::asio::io_context& io, const std::string& listen, const std::string& target);
    ~link_proxy();
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;

    /// `ip:port` on which it listens.
    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    void set(link_condition condition);

    /// Resets all connections.
    void reset_all();

    /// The present connections carry nothing more, and stay open; new ones work.
    void silence_all();

private:
    class relay;
    struct shared_state;

    static boost::asio::awaitable<void> accept_all(std::shared_ptr<shared_state> state);

    std::shared_ptr<shared_state> state_;
    std::string address_;
};

} // namespace mangovane::soak

#endif
