// Load of an endpoint as one instance knows it.
#ifndef MANGOVANE_FORWARD_ENDPOINT_LOAD_HPP
#define MANGOVANE_FORWARD_ENDPOINT_LOAD_HPP

#include <cstdint>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Used by the choice of an endpoint where load is spread evenly, and by the log. The load bound
/// and refusals use `requests`.
struct endpoint_load
{
    std::uint32_t own{0};    ///< Requests of this instance in flight; exact.
    std::uint32_t others{0}; ///< Those of the other instances, from their digests.
    duration age{};          ///< Mean age of these digests.
    double others_per_s{0};  ///< Requests that the other instances send to the endpoint.
    /// By all requests in flight until they end; 0 where the placement does not count them.
    std::uint64_t held_tokens{0};
    std::uint64_t token_capacity{0}; ///< 0: unknown.
    std::uint32_t slots{0};          ///< Requests that it processes at a time; 0: unknown.
    double speed{1};                 ///< Multiple of the usual.

    /// Requests in flight that are known of.
    [[nodiscard]] std::uint32_t requests() const noexcept { return own + others; }

    /// Requests that the other instances are expected to have sent since their digests.
    [[nodiscard]] double unreported() const noexcept
    {
        return others_per_s * std::chrono::duration<double>{age}.count();
    }

    /// Requests in flight, with those that are not reported yet.
    [[nodiscard]] double estimate() const noexcept { return requests() + unreported(); }

    /// Whether the endpoint can hold this many more tokens.
    [[nodiscard]] bool can_hold(std::uint64_t tokens) const noexcept
    {
        return token_capacity == 0 || held_tokens + tokens <= token_capacity;
    }

    /// Tokens that the endpoint can hold beside those that it holds.
    [[nodiscard]] std::uint64_t free_tokens() const noexcept
    {
        return token_capacity > held_tokens ? token_capacity - held_tokens : 0;
    }

    auto operator<=>(const endpoint_load&) const = default;
};

} // namespace mangovane

#endif
