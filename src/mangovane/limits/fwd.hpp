// Forward declarations of the limits module.
#ifndef MANGOVANE_LIMITS_FWD_HPP
#define MANGOVANE_LIMITS_FWD_HPP

namespace mangovane
{

class limit_ledger;
class limit_lease;

} // namespace mangovane

#endif
