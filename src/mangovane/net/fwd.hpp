// Forward declarations of the net folder.
#ifndef MANGOVANE_NET_FWD_HPP
#define MANGOVANE_NET_FWD_HPP

namespace mangovane
{

class admission_waits;
class connection_limit;
class connection_place;
class limited_stream;
class request_memory;
class request_reader;
class request_share;
class native_server;
class caller_reader;
class caller_session;
class request_exchange;
class endpoint_attempt;
class claim_store;
class operator_server;
class task_monitor;
class status_source;
struct admission_wait;
struct operator_services;
class peer_network;
struct caller_resources;
struct frontend_services;
struct held_request;
struct frontend_counters;

} // namespace mangovane

#endif
