// Messages about rate and concurrency limits of a node of the settings tree.
#ifndef MANGOVANE_MESSAGE_LIMIT_HPP
#define MANGOVANE_MESSAGE_LIMIT_HPP

#include <cstdint>

#include "mangovane/core/id.hpp"

namespace mangovane
{

/// Any instance to the owner of a node's limits: asks for rate tokens and reports concurrency.
struct limit_request
{
    node_id node;
    std::uint32_t tokens{0};  ///< Rate tokens wanted.
    std::uint32_t running{0}; ///< Requests of the node that run or wait at the sender.

    auto operator<=>(const limit_request&) const = default;
};

/// Owner of the limits to the sender of a `limit_request`.
struct limit_grant
{
    node_id node;
    std::uint32_t tokens{0}; ///< Rate tokens leased; unused ones expire at the end of the lease.
    std::uint32_t concurrency{0}; ///< Requests that may run concurrently at the receiver.
    std::uint32_t lease_ms{0};

    auto operator<=>(const limit_grant&) const = default;
};

} // namespace mangovane

#endif
