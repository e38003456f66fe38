// Forward declarations of the idempotency module.
#ifndef MANGOVANE_IDEMPOTENCY_FWD_HPP
#define MANGOVANE_IDEMPOTENCY_FWD_HPP

namespace mangovane
{

struct claim;
class claim_task;
class claim_write_queue;
class claim_writer;

} // namespace mangovane

#endif
