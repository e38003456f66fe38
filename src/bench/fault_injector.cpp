// The fault injectors of the reuse measurement.
#include "bench/fault_injector.hpp"

#include <array>

namespace mangovane::bench
{

namespace
{

class no_fault final : public fault_injector
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "calm"; }
    [[nodiscard]] seconds period() const noexcept override { return seconds{0}; }
    void inject(std::uint64_t, engine_fleet&, directory_group&) const override {}
};

/// Replaces 1 engine in 20 every minute, in rotation.
class engine_replaced final : public fault_injector
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "engine_replaced"; }
    [[nodiscard]] seconds period() const noexcept override { return seconds{60}; }
    void inject(std::uint64_t number, engine_fleet& engines, directory_group&) const override
    {
        const auto count = engines.positions() / 20;
        for (std::size_t n = 0; n != count; ++n)
        {
            engines.replace_engine((number * count + n) % engines.positions());
        }
    }
};

/// Takes a third of the engines out for 5 minutes and returns them for 5, each third in rotation.
/// The engines keep their caches while they are out.
class domain_out_and_back final : public fault_injector
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "domain_out_and_back"; }
    [[nodiscard]] seconds period() const noexcept override { return seconds{300}; }
    void inject(std::uint64_t number, engine_fleet& engines, directory_group&) const override
    {
        constexpr std::size_t domains = 3;
        const auto domain = number / 2 % domains;
        const auto is_back = number % 2 == 1;
        for (std::size_t n = domain; n < engines.positions(); n += domains)
        {
            engines.set_accepting(n, is_back);
        }
    }
};

/// Replaces one entry instance every 10 minutes, in rotation.
class instance_replaced final : public fault_injector
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "instance_replaced"; }
    [[nodiscard]] seconds period() const noexcept override { return seconds{600}; }
    void inject(std::uint64_t number, engine_fleet&, directory_group& directories) const override
    {
        directories.replace_instance(number % directories.instances());
    }
};

const no_fault none;
const engine_replaced replaced;
const domain_out_and_back domain;
const instance_replaced instance;
const std::array<const fault_injector*, 4> all{&none, &replaced, &domain, &instance};

} // namespace

std::span<const fault_injector* const> all_fault_injectors() noexcept
{
    return all;
}

} // namespace mangovane::bench
