// Why the connection of a caller has ended.
#ifndef MANGOVANE_NET_SESSION_END_HPP
#define MANGOVANE_NET_SESSION_END_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangovane
{

/// First cause of the end of a connection.
enum class session_end : std::uint8_t
{
    after_response,  ///< A response announced the end, or the caller asked for it.
    caller_closed,   ///< The caller closed the connection between two requests.
    idle,            ///< No request arrived for the idle timeout.
    stopped,         ///< The instance is stopping, and no request was in progress.
    request_timeout, ///< A request did not arrive completely in time.
    read_failed,     ///< The connection ended inside a request.
    rejected,        ///< The bytes were no acceptable request.
    caller_left,     ///< The caller closed the connection while its request was served.
    write_failed,    ///< The connection failed during a response.
    write_timeout,   ///< The caller accepted no more data.
    response_cut,    ///< The response could not be completed.
    stop_cut,        ///< The grace period of a stop ended during a request.
    failed,          ///< An exception ended the session.
    evicted,         ///< A new connection needed the descriptor.
    not_admitted,    ///< The connection was new, and no other one could be closed for it.
};

inline constexpr std::size_t session_end_count = 15;

/// How a connection that ends for a reason is reported and closed.
struct session_end_descriptor
{
    session_end end;
    std::string_view name; ///< In logs and metrics.
    /// The others are part of normal operation, or named by the line of their last request.
    bool logged;
    /// Something was just sent that the caller may not have received: what it still sends is read,
    /// so that the connection is not reset. A request that crosses another end stays unread.
    bool graceful;
    /// A whole response that the caller has not received yet is waited for. An incomplete one, or a
    /// caller that accepts no more data, does not hold the connection.
    bool awaits_receipt;

    auto operator<=>(const session_end_descriptor&) const = default;
};

inline constexpr std::array<session_end_descriptor, session_end_count> session_end_table{{
    {session_end::after_response, "after_response", false, true, true},
    {session_end::caller_closed, "caller_closed", false, false, false},
    {session_end::idle, "idle", false, false, true},
    {session_end::stopped, "stopped", false, false, true},
    {session_end::request_timeout, "request_timeout", true, false, true},
    {session_end::read_failed, "read_failed", true, false, false},
    {session_end::rejected, "rejected", false, true, true},
    {session_end::caller_left, "caller_left", false, false, false},
    {session_end::write_failed, "write_failed", false, false, false},
    {session_end::write_timeout, "write_timeout", false, false, false},
    {session_end::response_cut, "response_cut", false, true, false},
    {session_end::stop_cut, "stop_cut", false, true, false},
    {session_end::failed, "failed", true, true, false},
    {session_end::evicted, "evicted", false, false, false},
    {session_end::not_admitted, "not_admitted", false, false, false},
}};

[[nodiscard]] constexpr bool
is_in_enum_order(const std::array<session_end_descriptor, session_end_count>& table) noexcept
{
    for (std::size_t n = 0; n != table.size(); ++n)
    {
        if (static_cast<std::size_t>(table[n].end) != n)
        {
            return false;
        }
    }
    return true;
}
static_assert(is_in_enum_order(session_end_table), "the rows must be in the order of session_end");

[[nodiscard]] constexpr const session_end_descriptor& descriptor_of(session_end end) noexcept
{
    return session_end_table[static_cast<std::size_t>(end)];
}

} // namespace mangovane

#endif
