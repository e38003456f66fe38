// Implementation of the placement rules.
#include "mangovane/forward/placement_rule.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <type_traits>
#include <vector>

#include "mangovane/core/hash.hpp"
#include "mangovane/forward/expected_fill.hpp"

namespace mangovane
{

namespace
{

using positions = std::vector<std::size_t>;

/// Positions of all candidates, ordered by a key.
template <class Key>
positions ordered_by(std::span<const placement_candidate> candidates, Key key)
{
    positions result(candidates.size());
    std::iota(result.begin(), result.end(), std::size_t{0});
    std::sort(result.begin(), result.end(),
              [&](std::size_t lhs, std::size_t rhs)
              { return key(candidates[lhs]) < key(candidates[rhs]); });
    return result;
}

positions by_load(const placement_context& context)
{
    return ordered_by(
        context.candidates,
        [&](const placement_candidate& it)
        {
            const auto tie = rendezvous_score(context.tie_break_seed, it.endpoint.value());
            return std::tuple{it.avoided, it.load, it.domain != context.own_domain, tie};
        });
}

std::optional<std::size_t>
first_admitted(const placement_context& context, const positions& order, admission_filter admit)
{
    const auto it = std::find_if(order.begin(), order.end(),
                                 [&](std::size_t n) { return admit(context.candidates[n]); });
    return it == order.end() ? std::nullopt : std::optional{*it};
}

class least_loaded_rule final : public placement_rule
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(const placement_context& context,
                                                    admission_filter admit) const override
    {
        return first_admitted(context, by_load(context), admit);
    }
};

class sticky_rule final : public placement_rule
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(const placement_context& context,
                                                    admission_filter admit) const override
    {
        const auto order =
            ordered_by(context.candidates, [&](const placement_candidate& it)
                       { return ~rendezvous_score(context.affinity, it.endpoint.value()); });
        const auto has_room = [&](const placement_candidate& it)
        { return !it.avoided && it.load < context.allowed && admit(it); };
        const auto found = first_admitted(context, order, has_room);
        return found ? found : first_admitted(context, by_load(context), admit);
    }
};

/// A number above 0 and at most 1 for a candidate, drawn anew for each choice.
double draw(const placement_context& context, const placement_candidate& it)
{
    constexpr unsigned unused_bits = 11; // A double has 53 significant bits.
    constexpr double scale = 1.0 / 9007199254740992.0;
    const auto score = rendezvous_score(context.tie_break_seed, it.endpoint.value());
    return (static_cast<double>(score >> unused_bits) + 1) * scale;
}

/// The candidate with the lowest key that is admitted. One pass over the candidates unless one is
/// not admitted. Candidates without a key are left out.
template <class Key>
std::optional<std::size_t>
lowest_admitted(const placement_context& context, Key key, admission_filter admit)
{
    using key_type = typename std::invoke_result_t<Key, const placement_candidate&>::value_type;
    std::optional<key_type> refused;
    while (true)
    {
        std::optional<key_type> best;
        std::size_t position = 0;
        for (std::size_t n = 0; n != context.candidates.size(); ++n)
        {
            const auto it = key(context.candidates[n]);
            if (it && (!refused || *it > *refused) && (!best || *it < *best))
            {
                best = it;
                position = n;
            }
        }
        if (!best || admit(context.candidates[position]))
        {
            return best ? std::optional{position} : std::nullopt;
        }
        refused = best;
    }
}

/// A random choice in proportion to the room of each endpoint; those without room come after the
/// others, the least loaded first, and avoided ones last.
std::optional<std::size_t> choose_evenly(const placement_context& context, admission_filter admit)
{
    const expected_fill fill{context.candidates, context.unreported};
    using key_type = std::tuple<bool, bool, double>;
    const auto key = [&](const placement_candidate& it)
    {
        const double room = it.load < context.allowed ? fill.room(it) : 0;
        // The lowest of exponential variables with these rates is a draw in proportion to them.
        const double order = room > 0 ? -std::log(draw(context, it)) / room : it.load / it.speed;
        return std::optional{key_type{it.avoided, room <= 0, order}};
    };
    return lowest_admitted(context, key, admit);
}

class even_rule final : public placement_rule
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(const placement_context& context,
                                                    admission_filter admit) const override
    {
        return choose_evenly(context, admit);
    }
};

/// An endpoint that works at less than this fraction of the mean speed loses its prefixes: a
/// response there takes longer than one elsewhere that begins with reading the prefix.
constexpr double min_home_speed = 0.6;

class sticky_even_rule final : public placement_rule
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(const placement_context& context,
                                                    admission_filter admit) const override
    {
        double speed = 0;
        for (const auto& it : context.candidates)
        {
            speed += it.speed;
        }
        const double slowest =
            min_home_speed * speed / static_cast<double>(context.candidates.size());
        const auto key = [&](const placement_candidate& it)
        {
            const bool suits = !it.avoided && it.load < context.allowed && it.speed >= slowest;
            return suits ? std::optional{~rendezvous_score(context.affinity, it.endpoint.value())}
                         : std::nullopt;
        };
        const auto found = lowest_admitted(context, key, admit);
        return found ? found : choose_evenly(context, admit);
    }
};

} // namespace

const placement_rule& even_placement() noexcept
{
    static const even_rule rule;
    return rule;
}

const placement_rule& sticky_even_placement() noexcept
{
    static const sticky_even_rule rule;
    return rule;
}

const placement_rule& sticky_placement() noexcept
{
    static const sticky_rule rule;
    return rule;
}

const placement_rule& least_loaded_placement() noexcept
{
    static const least_loaded_rule rule;
    return rule;
}

} // namespace mangovane
