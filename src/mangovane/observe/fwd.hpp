// Forward declarations of the observe module.
#ifndef MANGOVANE_OBSERVE_FWD_HPP
#define MANGOVANE_OBSERVE_FWD_HPP

namespace mangovane
{

class metrics;

} // namespace mangovane

#endif
