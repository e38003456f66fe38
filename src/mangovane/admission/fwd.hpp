// Forward declarations of the admission module.
#ifndef MANGOVANE_ADMISSION_FWD_HPP
#define MANGOVANE_ADMISSION_FWD_HPP

namespace mangovane
{

struct admission_answer;
struct admission_decision;
struct admission_outcome;
struct admission_policy;
struct admission_request;
struct admission_room;
class account_usage;
class admission_gate;
class admission_queue;
class admission_statistics;
class refused_requests;
class response_times;

} // namespace mangovane

#endif
