// Commands of the stateful test: calls, operator changes and faults.
#ifndef MANGOVANE_TEST_STATEFUL_FLEET_COMMANDS_HPP
#define MANGOVANE_TEST_STATEFUL_FLEET_COMMANDS_HPP

#include <array>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "fleet.hpp"

namespace mangovane::test
{

/// Empty: the oracle inside the fleet takes the place of a model.
struct fleet_model
{};

/// One kind of command; `a` and `b` are arbitrary numbers.
struct command_kind
{
    std::string_view name;
    int weight;
    void (*run)(fleet& target, std::uint32_t a, std::uint32_t b);
};

/// Only 40 keys, so that a key is often reused at another instance.
inline std::string key_of(std::uint32_t n)
{
    return "key-" + std::to_string(n % 40);
}

inline constexpr std::array command_table{
    command_kind{"advance", 8,
                 [](fleet& it, std::uint32_t a, std::uint32_t)
                 { it.advance(milliseconds{50 + a % 1500}); }},
    command_kind{"long wait", 1,
                 [](fleet& it, std::uint32_t, std::uint32_t) { it.advance(milliseconds{6000}); }},
    command_kind{"read", 4,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.call(a, true, {}); }},
    command_kind{"write", 4,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.call(a, false, {}); }},
    command_kind{"keyed write", 6,
                 [](fleet& it, std::uint32_t a, std::uint32_t b) { it.call(a, false, key_of(b)); }},
    command_kind{"same key at two instances", 3,
                 [](fleet& it, std::uint32_t a, std::uint32_t b)
                 {
                     it.call(a, false, key_of(b));
                     it.call(a + 1, false, key_of(b));
                 }},
    command_kind{"burst", 3,
                 [](fleet& it, std::uint32_t a, std::uint32_t b)
                 {
                     for (std::uint32_t n = 0; n != 10 + b % 30; ++n)
                     {
                         it.call(a + n, n % 2 == 0, {});
                     }
                 }},
    command_kind{"kill", 1, [](fleet& it, std::uint32_t a, std::uint32_t) { it.kill(a); }},
    command_kind{"replace", 2, [](fleet& it, std::uint32_t a, std::uint32_t) { it.replace(a); }},
    command_kind{"pause", 2, [](fleet& it, std::uint32_t a, std::uint32_t) { it.pause(a); }},
    command_kind{"resume", 3, [](fleet& it, std::uint32_t a, std::uint32_t) { it.resume(a); }},
    command_kind{"shut down", 1,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.shut_down(a); }},
    command_kind{"engine down", 1,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.engine_down(a); }},
    command_kind{"engine up", 2,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.engine_up(a); }},
    command_kind{"engine cold", 2,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.engine_cold(a); }},
    command_kind{"engine leaves", 1,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.engine_leave(a); }},
    command_kind{"engine returns", 1,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.engine_return(a); }},
    command_kind{"connection reset", 3,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.engine_reset_next(a); }},
    command_kind{"mismatched response", 2,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.engine_mismatch_next(a); }},
    command_kind{"partition domains", 1,
                 [](fleet& it, std::uint32_t a, std::uint32_t b) { it.partition_domains(a, b); }},
    command_kind{"partition platform", 1,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.partition_platform(a); }},
    command_kind{"heal", 2, [](fleet& it, std::uint32_t, std::uint32_t) { it.heal(); }},
    command_kind{"store down", 1,
                 [](fleet& it, std::uint32_t, std::uint32_t)
                 { it.store(true, false, milliseconds{2}); }},
    command_kind{"store loses responses", 2,
                 [](fleet& it, std::uint32_t, std::uint32_t)
                 { it.store(false, true, milliseconds{2}); }},
    command_kind{"store slow", 1,
                 [](fleet& it, std::uint32_t a, std::uint32_t)
                 { it.store(false, false, milliseconds{100 + a % 2000}); }},
    command_kind{"store recovers", 3,
                 [](fleet& it, std::uint32_t, std::uint32_t)
                 { it.store(false, false, milliseconds{2}); }},
    command_kind{"domain out", 1,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.change_settings(a, true); }},
    command_kind{"domain in", 2,
                 [](fleet& it, std::uint32_t a, std::uint32_t) { it.change_settings(a, false); }},
    command_kind{"stale list", 1,
                 [](fleet& it, std::uint32_t, std::uint32_t) { it.stale_list(true); }},
    command_kind{"fresh list", 2,
                 [](fleet& it, std::uint32_t, std::uint32_t) { it.stale_list(false); }},
};

/// One command with its arguments.
class fleet_command final : public rc::state::Command<fleet_model, fleet>
{
public:
    fleet_command(std::size_t row, std::uint32_t a, std::uint32_t b) : row_{row}, a_{a}, b_{b} {}

    void apply(fleet_model&) const override {}

    void run(const fleet_model&, fleet& target) const override
    {
        command_table[row_].run(target, a_, b_);
        target.advance(milliseconds{20});
        if (!target.violations().empty())
        {
            RC_FAIL(target.violations().front());
        }
    }

    void show(std::ostream& out) const override
    {
        out << command_table[row_].name << '(' << a_ % 1000 << ", " << b_ % 1000 << ')';
    }

private:
    std::size_t row_;
    std::uint32_t a_;
    std::uint32_t b_;
};

/// Chooses commands by weight.
inline rc::Gen<std::shared_ptr<const rc::state::Command<fleet_model, fleet>>>
arbitrary_command(const fleet_model&)
{
    std::vector<std::size_t> rows;
    for (std::size_t n = 0; n != command_table.size(); ++n)
    {
        rows.insert(rows.end(), static_cast<std::size_t>(command_table[n].weight), n);
    }
    using command_ptr = std::shared_ptr<const rc::state::Command<fleet_model, fleet>>;
    return rc::gen::apply([](std::size_t row, std::uint32_t a, std::uint32_t b) -> command_ptr
                          { return std::make_shared<fleet_command>(row, a, b); },
                          rc::gen::elementOf(rows), rc::gen::inRange<std::uint32_t>(0, 10000),
                          rc::gen::inRange<std::uint32_t>(0, 10000));
}

} // namespace mangovane::test

#endif
