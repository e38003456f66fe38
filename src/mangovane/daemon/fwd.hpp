// Forward declarations of the daemon module.
#ifndef MANGOVANE_DAEMON_FWD_HPP
#define MANGOVANE_DAEMON_FWD_HPP

namespace mangovane
{

struct router_options;
class router;

} // namespace mangovane

#endif
