// Forward declarations of the wire module.
#ifndef MANGOVANE_WIRE_FWD_HPP
#define MANGOVANE_WIRE_FWD_HPP

namespace mangovane
{

struct hello;
struct frame;

} // namespace mangovane

#endif
