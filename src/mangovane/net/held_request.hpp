// Request of a caller as it is held until it has been answered.
#ifndef MANGOVANE_NET_HELD_REQUEST_HPP
#define MANGOVANE_NET_HELD_REQUEST_HPP

#include <memory>
#include <string>
#include <utility>

#include "mangovane/net/held_head.hpp"
#include "mangovane/net/request_memory.hpp"

namespace mangovane
{

/// Has no parsed fields, which take many times the bytes that were sent.
struct held_request
{
    explicit held_request(std::shared_ptr<request_share> share) noexcept
        : reservation{std::move(share)}
    {}

    /// Gives back what the body took, as the request is given up.
    void drop_body()
    {
        body.reset();
        reservation.shrink_to(head.bytes());
    }

    request_reservation reservation; ///< Covers the head and the body.
    held_head head;
    std::shared_ptr<const std::string> body; ///< Null until the request has been read.
    bool keep_alive{true};                   ///< The caller will use its connection again.
    bool expects_continue{false};            ///< The caller waits for 100 before it sends the body.
};

} // namespace mangovane

#endif
