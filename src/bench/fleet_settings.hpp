// Settings, endpoints and failure domains of the fleets that the benchmark models.
#ifndef MANGOVANE_BENCH_FLEET_SETTINGS_HPP
#define MANGOVANE_BENCH_FLEET_SETTINGS_HPP

#include <cstddef>
#include <string>

#include "mangovane/membership/endpoint.hpp"
#include "mangovane/settings/snapshot.hpp"

namespace mangovane::bench
{

/// Size of a modelled fleet.
struct fleet_shape
{
    std::size_t instances{13};
    std::size_t engines{20};
    std::size_t plain_endpoints{3};
    std::size_t domains{3};
    std::size_t accounts{10};
    bool limited{true}; ///< Every account has a rate and a concurrency limit of its own.

    auto operator<=>(const fleet_shape&) const = default;
};

/// The fleet size planned for in two years.
inline constexpr fleet_shape planned_fleet{360, 940, 3, 7, 7300, true};

[[nodiscard]] std::string domain_name(std::size_t n);
[[nodiscard]] std::string account_name(std::size_t n);
[[nodiscard]] service_id model_service();
[[nodiscard]] service_id plain_service();
[[nodiscard]] model_id served_model();

/// Settings text. Accounts are in groups of 100 below the root.
[[nodiscard]] std::string settings_text(const fleet_shape& shape);

/// Throws `std::logic_error` if the settings text is rejected.
[[nodiscard]] settings_ptr make_settings(const fleet_shape& shape);

/// Engines and plain endpoints, spread evenly over the domains.
[[nodiscard]] endpoints_ptr make_endpoints(const fleet_shape& shape);

} // namespace mangovane::bench

#endif
