// What an endpoint states about itself in the head of a response.
#ifndef MANGOVANE_FORWARD_ENDPOINT_NOTICE_HPP
#define MANGOVANE_FORWARD_ENDPOINT_NOTICE_HPP

#include <cstdint>
#include <optional>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Load of an endpoint in its own words, when it sent the response.
struct stated_load
{
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0}; ///< At least 1.
    /// How long work takes at this moment, in percent of the usual; 0: not stated.
    std::uint32_t work_percent{0};

    /// Larger figures are taken for faults and ignored, as is a speed of under a tenth or over ten
    /// times the usual.
    static constexpr std::uint32_t max_requests = 100000;
    static constexpr std::uint32_t min_work_percent = 10;
    static constexpr std::uint32_t max_work_percent = 1000;

    auto operator<=>(const stated_load&) const = default;
};

/// Independent of what the response means for its request.
struct endpoint_notice
{
    bool leaving{false};       ///< The endpoint is shutting down and accepts no new requests.
    time_point closed_until{}; ///< It accepts no request of this instance until then; zero: no
                               ///< such statement.
    std::optional<stated_load> load;

    /// Whether the endpoint asks for no requests, now or for good.
    [[nodiscard]] bool closing() const noexcept { return leaving || closed_until != time_point{}; }

    auto operator<=>(const endpoint_notice&) const = default;
};

} // namespace mangovane

#endif
