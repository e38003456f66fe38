// The disturbances of the reuse measurement.
#include "bench/disturbance.hpp"

#include <array>

namespace mangovane::bench
{

namespace
{

class no_disturbance final : public disturbance
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "calm"; }
    [[nodiscard]] seconds period() const noexcept override { return seconds{0}; }
    void strike(std::uint64_t, engine_fleet&, directory_group&) const override {}
};

/// One engine in twenty is replaced every minute, in turn.
class engine_replaced final : public disturbance
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "engine_replaced"; }
    [[nodiscard]] seconds period() const noexcept override { return seconds{60}; }
    void strike(std::uint64_t number, engine_fleet& engines, directory_group&) const override
    {
        const auto count = engines.positions() / 20;
        for (std::size_t n = 0; n != count; ++n)
        {
            engines.replace((number * count + n) % engines.positions());
        }
    }
};

/// A third of the engines is out for five minutes and back for five, each third in turn. The
/// caches of the engines outlast the time out.
class domain_out_and_back final : public disturbance
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "domain_out_and_back"; }
    [[nodiscard]] seconds period() const noexcept override { return seconds{300}; }
    void strike(std::uint64_t number, engine_fleet& engines, directory_group&) const override
    {
        constexpr std::size_t domains = 3;
        const auto domain = number / 2 % domains;
        const auto is_back = number % 2 == 1;
        for (std::size_t n = domain; n < engines.positions(); n += domains)
        {
            engines.set_open(n, is_back);
        }
    }
};

/// One entry instance is replaced every ten minutes, in turn.
class instance_replaced final : public disturbance
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "instance_replaced"; }
    [[nodiscard]] seconds period() const noexcept override { return seconds{600}; }
    void strike(std::uint64_t number, engine_fleet&, directory_group& directories) const override
    {
        directories.replace(number % directories.instances());
    }
};

const no_disturbance none;
const engine_replaced replaced;
const domain_out_and_back domain;
const instance_replaced instance;
const std::array<const disturbance*, 4> all{&none, &replaced, &domain, &instance};

} // namespace

std::span<const disturbance* const> all_disturbances() noexcept
{
    return all;
}

} // namespace mangovane::bench
