// Forward declarations of the quarantine module.
#ifndef MANGOVANE_QUARANTINE_FWD_HPP
#define MANGOVANE_QUARANTINE_FWD_HPP

namespace mangovane
{

struct part_verdict;
struct quarantined_part;
struct quarantine_event;
class answer_log;
class part_record;
class prompt_quarantine;

} // namespace mangovane

#endif
