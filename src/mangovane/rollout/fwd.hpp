// Forward declarations of the rollout module.
#ifndef MANGOVANE_ROLLOUT_FWD_HPP
#define MANGOVANE_ROLLOUT_FWD_HPP

namespace mangovane
{

struct rollout_event;
struct rollout_log_entry;
struct rollout_policy;
struct rollout_progress;
struct rollout_rows;
struct rollout_status;
struct rollout_summary;
struct rollout_surroundings;
struct rollout_write;
struct schedule_step;
struct status_decision;
struct store_time;
struct version_answers;
struct version_attempt;
struct version_response;
struct version_set;
class change_detector;
class first_byte_histogram;
class fleet_evidence;
class rollout;
class rollout_registry;
class route_comparison;
class service_versions;
class share_credit;
class share_schedule;

} // namespace mangovane

#endif
