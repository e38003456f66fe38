// Forward declarations of the ledger module.
#ifndef MANGOVANE_LEDGER_FWD_HPP
#define MANGOVANE_LEDGER_FWD_HPP

namespace mangovane
{

class endpoint_ledger;
class cold_ramp;
struct ledger_context;

} // namespace mangovane

#endif
