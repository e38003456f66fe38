// TCP proxy on loopback for one target address, which can delay, hold, stall and reset connections.
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

/// Condition of a link; applies to all its connections.
struct link_condition
{
    milliseconds delay{0};           ///< Added to each read, in both directions.
    bool holds_requests{false};      ///< Data to the target is kept and delivered later.
    bool holds_responses{false};     ///< Data from the target is kept and delivered later.
    bool refuses_connections{false}; ///< New connections are reset.
    /// Injected: data to the target is also sent on a second connection.
    bool duplicates_requests{false};
    bool corrupts_responses{false}; ///< Injected: a byte of the data from the target is changed.

    auto operator<=>(const link_condition&) const = default;
};

class link_proxy
{
public:
    /// Listens on `ip:port`; port 0 selects a free one. The context must outlive the connections.
    link_proxy(boost::asio::io_context& io, const std::string& listen, const std::string& target);
    ~link_proxy();
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;

    /// `ip:port` on which the proxy listens.
    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    void set(link_condition condition);

    /// Resets the open connections.
    void reset_all();

    /// Stalls the open connections for good, without closing them; new ones work.
    void stall_all();

private:
    class relay;
    struct shared_state;

    static boost::asio::awaitable<void> accept_all(std::shared_ptr<shared_state> state);

    std::shared_ptr<shared_state> state_;
    std::string address_;
};

} // namespace mangovane::soak

#endif
