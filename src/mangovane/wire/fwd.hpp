// Forward declarations of the wire module.
#ifndef MANGOVANE_WIRE_FWD_HPP
#define MANGOVANE_WIRE_FWD_HPP

namespace mangovane
{

class frame_reader;

} // namespace mangovane

#endif
