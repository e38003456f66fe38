// Resources of the process that the connections of its callers share.
#ifndef MANGOVANE_NET_CALLER_RESOURCES_HPP
#define MANGOVANE_NET_CALLER_RESOURCES_HPP

#include <cstddef>

#include "mangovane/net/connection_limit.hpp"
#include "mangovane/net/request_memory.hpp"

namespace mangovane
{

/// Thread-safe. Sessions share its ownership, because some are destroyed only with their executor.
struct caller_resources
{
    caller_resources() = default;

    /// `descriptors`: for connections of callers, and for those to endpoints; `request_bytes`: for
    /// requests that are being read, or have not been answered.
    caller_resources(std::size_t descriptors, std::size_t request_bytes)
        : connections{descriptors}, requests{request_bytes}
    {}

    connection_limit connections;
    request_memory requests{default_request_memory};
};

} // namespace mangovane

#endif
