// Resources of the process that the connections of its callers share.
#ifndef MANGOVANE_NET_CALLER_RESOURCES_HPP
#define MANGOVANE_NET_CALLER_RESOURCES_HPP

#include <cstddef>

#include "mangovane/net/connection_limit.hpp"

namespace mangovane
{

/// Thread-safe. Sessions share its ownership, because some are destroyed only with their executor.
struct caller_resources
{
    caller_resources() = default;

    /// `descriptors`: for connections of callers, and for those to endpoints.
    explicit caller_resources(std::size_t descriptors) : connections{descriptors} {}

    connection_limit connections;
};

} // namespace mangovane

#endif
