// Version of the library and its programs.
#ifndef MANGOVANE_CORE_VERSION_HPP
#define MANGOVANE_CORE_VERSION_HPP

#include <string_view>

namespace mangovane
{

inline constexpr std::string_view version_text = "0.1.0";

} // namespace mangovane

#endif
