// Forward declarations of the forward module.
#ifndef MANGOVANE_FORWARD_FWD_HPP
#define MANGOVANE_FORWARD_FWD_HPP

namespace mangovane
{

struct forward_request;
struct dispatch_target;
struct endpoint_notice;
struct endpoint_snapshot;
struct live_count;
struct placement_context;
struct service_room;
class domain_reachability;
class endpoint_departures;
class endpoint_tracker;
class endpoint_record;
class endpoint_chooser;
class feed_distributor;
class fleet_size;
class live_instances;
class forward_core;
class forward_flow;
class placement_rule;
class expected_fill;
class local_retry_budget;
class reader_election;

} // namespace mangovane

#endif
