// Forward declarations of the forward module.
#ifndef MANGOVANE_FORWARD_FWD_HPP
#define MANGOVANE_FORWARD_FWD_HPP

namespace mangovane
{

struct forward_request;
struct prompt_part;
struct dispatch_target;
struct endpoint_standing;
struct placement_scene;
class endpoint_board;
class endpoint_record;
class endpoint_chooser;
class feed_spread;
class fleet_size;
class forward_core;
class forward_flow;
class placement_rule;
class retry_share;
class watch_duty;

} // namespace mangovane

#endif
