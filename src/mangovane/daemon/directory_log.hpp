// Log lines of changes to the list of endpoints.
#ifndef MANGOVANE_DAEMON_DIRECTORY_LOG_HPP
#define MANGOVANE_DAEMON_DIRECTORY_LOG_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "mangovane/core/store_revision.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/membership/endpoint.hpp"

namespace mangovane
{

/// With more changes at once, one line with their numbers replaces the lines of the endpoints. 150
/// lines fit in the buffer of the event log; thousands displaced all other lines.
inline constexpr std::size_t max_directory_lines = 150;

/// Lines of the differences between two lists, the second at a revision of the registry.
[[nodiscard]] std::vector<std::string> directory_changes(const endpoint_directory& before,
                                                         const endpoint_directory& after,
                                                         store_revision revision,
                                                         time_point now);

} // namespace mangovane

#endif
