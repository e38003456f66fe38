// Forward declarations of the net module.
#ifndef MANGOVANE_NET_FWD_HPP
#define MANGOVANE_NET_FWD_HPP

namespace mangovane
{

class http_server;
class caller_session;
class exchange;
class endpoint_attempt;
class claim_port;
class operator_server;
class status_source;
struct operator_services;
class peer_network;
struct front_services;
struct front_counters;

} // namespace mangovane

#endif
