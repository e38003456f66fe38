// Which endpoint versions a request may go to, and an attempt at one of them.
#ifndef MANGOVANE_ROLLOUT_VERSION_CHOICE_HPP
#define MANGOVANE_ROLLOUT_VERSION_CHOICE_HPP

#include <algorithm>
#include <string>
#include <vector>

#include <absl/container/inlined_vector.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Endpoint versions that may be chosen together.
struct version_set
{
    bool any{false};                   ///< All versions.
    std::vector<std::string> versions; ///< If not `any`.

    [[nodiscard]] bool contains(const std::string& version) const
    {
        return any || std::find(versions.begin(), versions.end(), version) != versions.end();
    }

    auto operator<=>(const version_set&) const = default;
};

/// Sets in order of preference: the next is for a request for which no endpoint of the one before
/// can be chosen. Never empty.
using version_choice = absl::InlinedVector<version_set, 2>;

/// An attempt of a request at an endpoint. It keeps the version that the endpoint had when it was
/// chosen: under the same name, an endpoint may return with another one.
struct version_attempt
{
    service_id service;
    std::string version;
    endpoint_id endpoint;
    std::uint64_t route{0}; ///< Hash of its name.

    auto operator<=>(const version_attempt&) const = default;
};

/// What an attempt has shown of the version of its endpoint.
struct version_response
{
    bool failed{false};         ///< A complete response that reports a failure.
    milliseconds first_byte{0}; ///< From sending; not used for a failure.

    auto operator<=>(const version_response&) const = default;
};

} // namespace mangovane

#endif
