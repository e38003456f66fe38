// What the processes of the daemons share: who they are among the instances, and their threads.
#ifndef MANGOVANE_DAEMON_PROCESS_HPP
#define MANGOVANE_DAEMON_PROCESS_HPP

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mangovane/membership/view.hpp"
#include "mangovane/net/peer_context.hpp"

namespace mangovane
{

/// This process as a member; its incarnation is the time of its start in Unix milliseconds.
[[nodiscard]] member
make_self(const std::string& name, const std::string& domain, const std::string& address);

/// How it appears to other instances on their connections.
[[nodiscard]] peer_network_options make_peer_options(const member& self,
                                                     const std::string& cluster_key);

/// Runs the context on so many threads, this one among them, until it stops.
void run_threads(boost::asio::io_context& io, std::uint32_t count);

} // namespace mangovane

#endif
