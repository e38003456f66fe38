// Endpoints: their entries in the platform's list, their load reports, and a directory of them.
#ifndef MANGOVANE_MEMBERSHIP_ENDPOINT_HPP
#define MANGOVANE_MEMBERSHIP_ENDPOINT_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// One endpoint of the platform's list.
struct endpoint_info
{
    endpoint_id id;
    service_id service;
    domain_id domain;
    std::string domain_name;
    std::string name;
    std::string address;          ///< `ip:port`
    std::string version;          ///< Version of its software; empty: unknown.
    std::uint32_t slots{0};       ///< Requests that it processes at a time; 0: unknown.
    std::vector<model_id> models; ///< Models it has loaded; empty: all of its service.
    bool leaving{false};          ///< It is shutting down and takes no new requests.
    incarnation epoch{0};         ///< Incarnation of the endpoint's process; 0: unknown.
    time_point cold_until{};      ///< End of its warm-up; in the past once it is warm.

    bool operator==(const endpoint_info&) const = default;
};

/// Load report of an endpoint, polled by the instance that owns it.
struct endpoint_report
{
    endpoint_id endpoint;
    incarnation epoch{0};
    std::uint32_t in_flight{0};
    bool warm{true};
    bool leaving{false};
    time_point sampled_at; ///< When the owner sent the poll. The reported state is older than this
                           ///< by at most the lag of the report.

    bool operator==(const endpoint_report&) const = default;
};

/// Immutable set of endpoints, indexed by id and service. Rebuilt on every change of the list.
class endpoint_directory
{
public:
    endpoint_directory() = default;
    explicit endpoint_directory(std::vector<endpoint_info> endpoints);

    /// Null when no endpoint has the id.
    [[nodiscard]] const endpoint_info* find(endpoint_id id) const noexcept;

    /// Endpoints of a service, ordered by id.
    [[nodiscard]] const std::vector<const endpoint_info*>&
    of_service(service_id service) const noexcept;

    /// All endpoints, ordered by id.
    [[nodiscard]] const std::vector<endpoint_info>& all() const noexcept { return endpoints_; }

    endpoint_directory(const endpoint_directory&) = delete;
    endpoint_directory& operator=(const endpoint_directory&) = delete;

    bool operator==(const endpoint_directory& rhs) const { return endpoints_ == rhs.endpoints_; }

private:
    std::vector<endpoint_info> endpoints_; ///< Ordered by id; never changes after construction.
    absl::flat_hash_map<endpoint_id, const endpoint_info*> by_id_;
    absl::flat_hash_map<service_id, std::vector<const endpoint_info*>> by_service_;
};

using endpoints_ptr = std::shared_ptr<const endpoint_directory>;

} // namespace mangovane

#endif
