// Forward declarations of the idempotency module.
#ifndef MANGOVANE_IDEMPOTENCY_FWD_HPP
#define MANGOVANE_IDEMPOTENCY_FWD_HPP

namespace mangovane
{

struct claim;
struct claim_record;
class claim_batch;

} // namespace mangovane

#endif
