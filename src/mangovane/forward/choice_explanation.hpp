// What the choice of an endpoint for a request would be now, and what it would be based on.
#ifndef MANGOVANE_FORWARD_CHOICE_EXPLANATION_HPP
#define MANGOVANE_FORWARD_CHOICE_EXPLANATION_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangovane/forward/endpoint_chooser.hpp"
#include "mangovane/forward/endpoint_load.hpp"
#include "mangovane/forward/service_room.hpp"

namespace mangovane
{

/// Why an endpoint of the service is no candidate.
enum class exclusion : std::uint8_t
{
    none,
    other_version, ///< The request may not go to its version.
    tried,         ///< The request has been there.
    drained,       ///< The settings take out the endpoint or its failure domain.
    leaving,       ///< Its entry, or a response of it, says that it is shutting down.
    closed,        ///< It has asked this instance to send nothing for a time.
};

inline constexpr std::array<std::string_view, 6> exclusion_names{
    "none", "other_version", "tried", "drained", "leaving", "closed"};

/// An endpoint of the service, as the choice sees it.
struct explained_endpoint
{
    std::string name;
    std::string domain;
    std::string version; ///< Empty: unknown.
    endpoint_load known;
    exclusion excluded{exclusion::none};
    bool suspended{false};        ///< Recently unreachable, full or replaced.
    bool domain_suspected{false}; ///< Its failure domain seems to be cut off.
    bool avoided{false};    ///< For these reasons, or because it fails more often than the others.
    bool over_bound{false}; ///< At the load bound.
    bool can_hold{true};    ///< The request fits beside the tokens that it holds.
    bool cold{false};       ///< In its cold start, it accepts requests at a limited rate.
    bool admits{true};      ///< That rate permits a request of this instance now.
    bool chosen{false};

    bool operator==(const explained_endpoint&) const = default;
};

/// Whether the request could be sent now, and the room on which that is based.
struct explained_admission
{
    service_room room;
    std::size_t waiting{0}; ///< Requests that wait for the service at this instance.
    /// Whether the request would be sent at once; otherwise it would wait or be refused.
    bool open{true};

    auto operator<=>(const explained_admission&) const = default;
};

struct choice_explanation
{
    /// Endpoints that are listed; further ones are only counted.
    static constexpr std::size_t max_endpoints = 1000;

    std::string route;
    std::string service;             ///< Its name, if the settings state one.
    store_revision settings_version; ///< Of the settings in force.
    version_choice versions;         ///< In order of preference.
    std::string_view rule;           ///< Empty if none was asked.
    std::uint32_t load_limit{0};     ///< Load bound in force for the choice.
    double mean_load{0};
    double unreported{0}; ///< Requests that others have sent since their digests, as estimated.
    std::size_t endpoint_count{0};
    std::vector<explained_endpoint> endpoints; ///< The first `max_endpoints`, by id.
    std::string chosen;                        ///< Name of the endpoint; empty: none.
    std::string prefix_source;                 ///< Empty: none.
    std::optional<choice_refusal> refusal;     ///< Why no endpoint is chosen.
    /// Empty where admission is off or the service's room is unknown: every request is sent.
    std::optional<explained_admission> admission;

    bool operator==(const choice_explanation&) const = default;
};

} // namespace mangovane

#endif
