// Log of the endpoints that an instance owns: changes of ownership, ramp and readiness.
#ifndef MANGOVANE_DAEMON_ENDPOINT_LOG_HPP
#define MANGOVANE_DAEMON_ENDPOINT_LOG_HPP

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/routing/routing_table.hpp"
#include "mangovane/routing/slot_service.hpp"

namespace mangovane
{

/// Compares the state of owned endpoints with the state logged last. Not thread-safe.
class endpoint_log
{
public:
    /// Returns a line for each change since the last call, in unspecified order of endpoints.
    [[nodiscard]] std::vector<std::string> changes(const std::vector<owned_endpoint_status>& owned,
                                                   const endpoint_directory& endpoints);

private:
    /// Logged state of an endpoint.
    struct logged_endpoint
    {
        std::string name;
        std::uint32_t ramp{0}; ///< Slots of the ramp's current step; 0: the ramp has ended.
        bool rebuilding{false};
        std::optional<slot_refusal_reason> closed;

        bool operator==(const logged_endpoint&) const = default;
    };

    static void compare(const logged_endpoint& before,
                        const logged_endpoint& after,
                        std::vector<std::string>& out);

    absl::flat_hash_map<endpoint_id, logged_endpoint> logged_;
};

} // namespace mangovane

#endif
