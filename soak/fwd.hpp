// Types of the fault soak.
#ifndef MANGOVANE_SOAK_FWD_HPP
#define MANGOVANE_SOAK_FWD_HPP

namespace mangovane::soak
{

struct arrival;
struct breach;
struct call_record;
struct evidence;
struct fault_event;
struct fault_plan;
struct operator_change;
struct run_record;
struct soak_options;

class caller;
class deployment;
class fault_injector;
class history;
class judge;
class link_proxy;
class outage_log;

} // namespace mangovane::soak

#endif
