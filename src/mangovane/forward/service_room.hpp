// Room of a service over its endpoints, as one instance knows it.
#ifndef MANGOVANE_FORWARD_SERVICE_ROOM_HPP
#define MANGOVANE_FORWARD_SERVICE_ROOM_HPP

#include <algorithm>
#include <compare>
#include <cstdint>

#include "mangovane/core/time.hpp"
#include "mangovane/forward/endpoint_load.hpp"

namespace mangovane
{

/// Sums over the endpoints that accept requests and are not avoided.
struct service_room
{
    std::uint32_t endpoints{0};     ///< Included in the sums.
    std::uint32_t unknown_slots{0}; ///< Endpoints whose slots are unknown.
    double slots{0};                ///< Requests that they process at a time.
    /// Over all instances, those of the others as last reported. `endpoint_load::estimate` adds
    /// what they have sent since but does not subtract what has ended, and so overstates the load.
    double in_flight{0};
    double completions_per_s{0}; ///< Over all instances.
    std::uint32_t own{0};        ///< Requests of this instance in flight.
    double own_completions_per_s{0};
    /// Of the service, as this instance has seen it; zero: none yet.
    duration usual_response{};
    duration age{};                  ///< Mean age of what is known of the other instances.
    std::uint32_t live_instances{1}; ///< That share the room; at least 1.
    bool hears_no_other{false};      ///< The others may run, but none is heard from.

    /// The same room with another endpoint in the sums.
    [[nodiscard]] service_room with(const endpoint_load& load, double completions) const noexcept
    {
        auto result = *this;
        ++result.endpoints;
        result.unknown_slots += load.slots == 0 ? 1 : 0;
        result.slots += load.slots;
        result.in_flight += load.requests();
        result.completions_per_s += completions;
        result.own += load.own;
        result.own_completions_per_s += std::max(0.0, completions - load.others_per_s);
        return result;
    }

    /// The same without any endpoint.
    [[nodiscard]] service_room without_endpoints() const noexcept
    {
        service_room result;
        result.usual_response = usual_response;
        result.age = age;
        result.live_instances = live_instances;
        result.hears_no_other = hears_no_other;
        return result;
    }

    /// Whether the room is known, so that requests can be held back for lack of it.
    [[nodiscard]] bool known() const noexcept { return endpoints != 0 && unknown_slots == 0; }

    /// Part of the room that this instance may use whatever the others do.
    [[nodiscard]] double share() const noexcept { return 1.0 / live_instances; }

    /// The room if all other instances did as this one does, for one that hears from no other. It
    /// is at least one slot for each instance.
    [[nodiscard]] service_room assumed() const noexcept
    {
        auto result = *this;
        if (hears_no_other)
        {
            result.slots = std::max<double>(slots, live_instances);
            result.in_flight = static_cast<double>(own) * live_instances;
            result.completions_per_s = own_completions_per_s * live_instances;
        }
        return result;
    }

    [[nodiscard]] double free() const noexcept { return slots - in_flight; }

    /// Completions per second if all slots were in use. What is completed while some are free says
    /// too little: instances that send only as much would never use them.
    [[nodiscard]] double capacity_per_s() const noexcept
    {
        const double used = std::clamp(in_flight, slots * min_used_part, slots);
        const std::chrono::duration<double> time =
            usual_response == duration{} ? assumed_response : usual_response;
        const double measured = used == 0 ? 0 : completions_per_s * slots / used;
        return std::max(measured, slots / time.count());
    }
    [[nodiscard]] double utilization() const noexcept { return slots == 0 ? 1 : in_flight / slots; }

    auto operator<=>(const service_room&) const = default;

private:
    /// Time of a response before the first one, so that a burst at a service that was just started
    /// is not refused as if nothing was ever completed.
    static constexpr duration assumed_response = seconds{1};

    /// Of the slots, for the estimate of the capacity: with fewer in use it is a guess.
    static constexpr double min_used_part = 0.25;
};

} // namespace mangovane

#endif
