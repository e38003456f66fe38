// Messages that replicate the endpoint list and the settings from the instances that read them from
// the platform's store to the other instances.
#ifndef MANGOVANE_MESSAGE_ENDPOINTS_HPP
#define MANGOVANE_MESSAGE_ENDPOINTS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/core/store_revision.hpp"
#include "mangovane/message/membership.hpp"

namespace mangovane
{

/// Sent by an instance that reads from the store to those that do not: the versions it has read.
struct feed_state
{
    settings_stamp settings;
    store_revision endpoints_revision; ///< Revision of the registry; 0: none was read.
    std::uint32_t age_ms{0};           ///< Time since the store last responded to it.

    auto operator<=>(const feed_state&) const = default;
};

/// Asks for the changes of the endpoint list after a revision.
struct endpoint_query
{
    store_revision known_revision; ///< Revision of the sender's list; 0: none.

    auto operator<=>(const endpoint_query&) const = default;
};

/// An entry of the registry, or the tombstone of a removed one.
struct endpoint_row
{
    std::string name;
    service_id service;
    domain_id domain;
    std::string domain_name;
    std::string address; ///< `ip:port`
    incarnation epoch{0};
    store_revision revision;  ///< Revision of the registry after the last change of the entry.
    std::uint32_t cold_ms{0}; ///< Remaining warm-up time.
    std::uint32_t keep_ms{0}; ///< Time for which a removed entry stays listed.
    bool leaving{false};      ///< The endpoint is shutting down.
    bool removed{false};
    std::string version;    ///< Version of its software; empty: unknown.
    std::uint32_t slots{0}; ///< Requests that it processes at a time; 0: unknown.

    auto operator<=>(const endpoint_row&) const = default;
};

/// Entries that changed between two revisions, or the full list. Long lists are sent in parts.
struct endpoint_update
{
    store_revision since;   ///< Revision that the receiver must have; 0: this is the full list.
    store_revision through; ///< Revision of the receiver's list afterwards.
    std::uint16_t part{0};  ///< Index, from 0.
    std::uint16_t parts{1};
    std::vector<endpoint_row> rows; ///< At most `max_update_rows`.

    auto operator<=>(const endpoint_update&) const = default;
};

inline constexpr std::size_t max_update_rows = 200;
inline constexpr std::size_t max_endpoint_text_bytes = 256; ///< For each string of a row.

} // namespace mangovane

#endif
