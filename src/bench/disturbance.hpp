// What happens to the fleet while reuse is measured.
#ifndef MANGOVANE_BENCH_DISTURBANCE_HPP
#define MANGOVANE_BENCH_DISTURBANCE_HPP

#include <cstdint>
#include <span>
#include <string_view>

#include "bench/directory_group.hpp"
#include "bench/engine_fleet.hpp"

namespace mangovane::bench
{

class disturbance
{
public:
    virtual ~disturbance() = default;
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;
    /// Time between two strikes; zero: never.
    [[nodiscard]] virtual seconds period() const noexcept = 0;
    /// `number` counts the strikes from zero.
    virtual void
    strike(std::uint64_t number, engine_fleet& engines, directory_group& directories) const = 0;
};

/// none, engine_replaced, domain_out_and_back, instance_replaced.
[[nodiscard]] std::span<const disturbance* const> all_disturbances() noexcept;

} // namespace mangovane::bench

#endif
