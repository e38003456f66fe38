// Forward declarations of the idempotency module.
#ifndef MANGOVANE_IDEMPOTENCY_FWD_HPP
#define MANGOVANE_IDEMPOTENCY_FWD_HPP

namespace mangovane
{

struct claim;
class claim_task;
class claim_outbox;
class claim_batch;

} // namespace mangovane

#endif
