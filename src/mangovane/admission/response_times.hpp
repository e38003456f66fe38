// Time that the responses of a route, or of a service, usually take.
#ifndef MANGOVANE_ADMISSION_RESPONSE_TIMES_HPP
#define MANGOVANE_ADMISSION_RESPONSE_TIMES_HPP

#include <cstdint>
#include <string_view>

#include "mangovane/core/hash.hpp"
#include "mangovane/core/id.hpp"
#include "mangovane/core/sharded_map.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Moving averages of this instance's own responses. Thread-safe; holds one value for each route
/// and service of the configurations that were in force.
class response_times
{
public:
    /// `kind` is a key of `route_key` or `service_key`.
    void record(std::uint64_t kind, duration time)
    {
        times_.with_entry(kind,
                          [&](duration& it) {
                              it = it == duration{} ? time : it + (time - it) / averaged_responses;
                          });
    }

    /// Zero before the first response.
    [[nodiscard]] duration usual(std::uint64_t kind)
    {
        duration result{};
        times_.find(kind, [&](const duration& it) { result = it; });
        return result;
    }

    /// Keys of a route and of a service; they differ also if both have the same name.
    [[nodiscard]] static std::uint64_t route_key(std::string_view name)
    {
        return hash_combine(hash_bytes(name), 1);
    }
    [[nodiscard]] static std::uint64_t service_key(service_id service) noexcept
    {
        return hash_combine(service.value(), 2);
    }

private:
    /// Each response moves the average by this part of the difference, so that it follows the last
    /// few responses.
    static constexpr int averaged_responses = 20;

    sharded_map<std::uint64_t, duration> times_;
};

} // namespace mangovane

#endif
