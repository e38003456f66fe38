// Setup shared by the daemons: identity of the process among the instances, and its threads.
#ifndef MANGOVANE_DAEMON_PROCESS_HPP
#define MANGOVANE_DAEMON_PROCESS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mangovane/membership/view.hpp"
#include "mangovane/net/peer_context.hpp"

namespace mangovane
{

/// Member entry of this process. The incarnation is the current Unix time in milliseconds, so it
/// rises with each start.
[[nodiscard]] member
make_self(const std::string& name, const std::string& domain, const std::string& address);

/// Options of this process's connections to other instances.
[[nodiscard]] peer_network_options make_peer_options(const member& self,
                                                     const std::string& cluster_key);

/// Descriptors that this process may open: its limit, or `stated` if that is less and not 0.
[[nodiscard]] std::size_t descriptor_limit(std::uint32_t stated);

/// Makes the allocator return each large block to the system when it is freed. By default it keeps
/// and splits such blocks after the first one, so that the bodies of a crowd leave several times
/// the memory that they held at a time.
void return_large_blocks();

/// Runs the context on `count` threads, including the calling one, until it stops.
void run_threads(boost::asio::io_context& io, std::uint32_t count);

} // namespace mangovane

#endif
