// Forward declarations of the shutdown folder.
#ifndef MANGOVANE_SHUTDOWN_FWD_HPP
#define MANGOVANE_SHUTDOWN_FWD_HPP

namespace mangovane
{

struct stop_schedule;
struct stop_summary;
struct cut_request;
class stop_state;

} // namespace mangovane

#endif
