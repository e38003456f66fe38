// Forward declarations of the queue module.
#ifndef MANGOVANE_QUEUE_FWD_HPP
#define MANGOVANE_QUEUE_FWD_HPP

namespace mangovane
{

class fair_queue;
struct queue_limits;

} // namespace mangovane

#endif
