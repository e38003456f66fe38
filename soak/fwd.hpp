// Types of the fault soak.
#ifndef MANGOVANE_SOAK_FWD_HPP
#define MANGOVANE_SOAK_FWD_HPP

namespace mangovane::soak
{

struct arrival;
struct violation;
struct call_record;
struct run_observations;
struct fault_event;
struct fault_plan;
struct operator_change;
struct execution_record;
struct process_end;
struct rollout_order;
struct row_key;
struct status_change;
struct store_backup;
struct uncontrolled_period;
struct soak_options;
struct stop_counts;

class busy_threads;
class caller;
class change_checker;
class deployment;
class fault_injector;
class observation_recorder;
class invariant_checker;
class link_proxy;
class outage_log;
class rollout_checker;
class rollout_driver;
class store_backups;
class store_return;
class uncontrolled_callers;

} // namespace mangovane::soak

#endif
