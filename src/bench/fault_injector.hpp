// Periodic faults and replacements in the fleet while cache reuse is measured.
#ifndef MANGOVANE_BENCH_FAULT_INJECTOR_HPP
#define MANGOVANE_BENCH_FAULT_INJECTOR_HPP

#include <cstdint>
#include <span>
#include <string_view>

#include "bench/directory_group.hpp"
#include "bench/engine_fleet.hpp"

namespace mangovane::bench
{

class fault_injector
{
public:
    virtual ~fault_injector() = default;
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;
    /// Time between two injections; zero: never.
    [[nodiscard]] virtual seconds period() const noexcept = 0;
    /// `number` counts the injections from zero.
    virtual void
    inject(std::uint64_t number, engine_fleet& engines, directory_group& directories) const = 0;
};

/// In order: calm, engine_replaced, domain_out_and_back, instance_replaced.
[[nodiscard]] std::span<const fault_injector* const> all_fault_injectors() noexcept;

} // namespace mangovane::bench

#endif
