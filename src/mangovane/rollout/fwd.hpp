// Forward declarations of the rollout module.
#ifndef MANGOVANE_ROLLOUT_FWD_HPP
#define MANGOVANE_ROLLOUT_FWD_HPP

namespace mangovane
{

struct rollout_event;
struct rollout_policy;
struct rollout_surroundings;
struct schedule_step;
struct version_answers;
class change_detector;
class first_byte_histogram;
class fleet_evidence;
class rollout;
class route_comparison;
class share_credit;
class share_schedule;

} // namespace mangovane

#endif
