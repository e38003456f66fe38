// Forward declarations of the routing module.
#ifndef MANGOVANE_ROUTING_FWD_HPP
#define MANGOVANE_ROUTING_FWD_HPP

namespace mangovane
{

struct routed_request;
struct flow_context;
class request_flow;
class request_callbacks;
class routing_table;
class message_sink;
class coordinator;

} // namespace mangovane

#endif
