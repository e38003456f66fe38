// Forward declarations of the placement module.
#ifndef MANGOVANE_PLACEMENT_FWD_HPP
#define MANGOVANE_PLACEMENT_FWD_HPP

namespace mangovane
{

class placement_strategy;
class chat_directory;
struct candidate;

} // namespace mangovane

#endif
