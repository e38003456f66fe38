// Messages that replicate accepted settings between instances.
#ifndef MANGOVANE_MESSAGE_SETTINGS_HPP
#define MANGOVANE_MESSAGE_SETTINGS_HPP

#include <cstdint>
#include <string>

#include "mangovane/message/membership.hpp"

namespace mangovane
{

/// Asks another instance for settings newer than `known_stamp`, the version of the sender.
struct settings_query
{
    settings_stamp known_stamp;

    auto operator<=>(const settings_query&) const = default;
};

/// Text of one accepted version of the settings.
struct settings_content
{
    settings_stamp stamp;
    std::string text; ///< JSON, as stored by the platform.

    auto operator<=>(const settings_content&) const = default;
};

} // namespace mangovane

#endif
