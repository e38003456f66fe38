// Implementation of the placement rules.
#include "mangovane/forward/placement_rule.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <type_traits>
#include <vector>

#include "mangovane/core/hash.hpp"
#include "mangovane/forward/expected_fill.hpp"

namespace mangovane
{

namespace
{

/// The random number of a score: above 0 and at most 1.
double uniform_from_hash(std::uint64_t score)
{
    constexpr unsigned unused_bits = 11; // A double has 53 significant bits.
    constexpr double scale = 1.0 / 9007199254740992.0;
    return (static_cast<double>(score >> unused_bits) + 1) * scale;
}

/// A candidate with the key that orders it.
template <class Key>
struct keyed_position
{
    Key key;
    std::size_t position{0};
};

template <class Key>
using key_type_of = typename std::invoke_result_t<Key, const placement_candidate&>::value_type;

/// The candidate with the lowest key above `floor`, if there is one.
template <class Key>
std::optional<keyed_position<key_type_of<Key>>>
lowest_above(const std::optional<key_type_of<Key>>& floor,
             std::span<const placement_candidate> candidates,
             const Key& key)
{
    std::optional<keyed_position<key_type_of<Key>>> best;
    for (std::size_t n = 0; n != candidates.size(); ++n)
    {
        const auto it = key(candidates[n]);
        if (it && (!best || *it < best->key) && (!floor || *it > *floor))
        {
            best = {*it, n};
        }
    }
    return best;
}

/// The first candidate above `floor`, in order of the keys, that is admitted. Sorts.
template <class Key>
std::optional<std::size_t> first_admitted_above(const key_type_of<Key>& floor,
                                                std::span<const placement_candidate> candidates,
                                                const Key& key,
                                                admission_filter admit)
{
    std::vector<keyed_position<key_type_of<Key>>> order;
    for (std::size_t n = 0; n != candidates.size(); ++n)
    {
        const auto it = key(candidates[n]);
        if (it && *it > floor)
        {
            order.push_back({*it, n});
        }
    }
    std::sort(order.begin(), order.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.key < rhs.key; });
    const auto found = std::find_if(order.begin(), order.end(),
                                    [&](const auto& it) { return admit(candidates[it.position]); });
    return found == order.end() ? std::nullopt : std::optional{found->position};
}

/// Candidates that are refused before the rest is sorted. Usually the first one is admitted; many
/// are refused only while a whole domain is cold.
constexpr int max_passes = 4;

/// The candidate with the lowest key that is admitted. One pass over the candidates, without a sort
/// and without allocation, unless one is refused. Keys differ; candidates without a key are left
/// out.
template <class Key>
std::optional<std::size_t>
lowest_admitted(const placement_context& context, const Key& key, admission_filter admit)
{
    std::optional<key_type_of<Key>> refused;
    for (int pass = 0; pass != max_passes; ++pass)
    {
        const auto lowest = lowest_above(refused, context.candidates, key);
        if (!lowest || admit(context.candidates[lowest->position]))
        {
            return lowest ? std::optional{lowest->position} : std::nullopt;
        }
        refused = lowest->key;
    }
    return first_admitted_above(*refused, context.candidates, key, admit);
}

std::optional<std::size_t> choose_least_loaded(const placement_context& context,
                                               admission_filter admit)
{
    using key_type = std::tuple<bool, std::uint32_t, bool, std::uint64_t>;
    const auto key = [&](const placement_candidate& it)
    {
        const auto tie = rendezvous_score(context.tie_break_seed, it.endpoint.value());
        return std::optional{key_type{it.avoided, it.load, it.domain != context.own_domain, tie}};
    };
    return lowest_admitted(context, key, admit);
}

/// The first candidate in rendezvous order of the prefix that `suits` and is admitted.
template <class Suits>
std::optional<std::size_t>
choose_by_rendezvous(const placement_context& context, const Suits& suits, admission_filter admit)
{
    const auto key = [&](const placement_candidate& it)
    {
        const bool has_room = !it.avoided && it.load < context.allowed && suits(it);
        return has_room ? std::optional{~rendezvous_score(context.affinity, it.endpoint.value())}
                        : std::nullopt;
    };
    return lowest_admitted(context, key, admit);
}

class least_loaded_rule final : public placement_rule
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "least_loaded"; }

    [[nodiscard]] std::optional<std::size_t> choose(const placement_context& context,
                                                    admission_filter admit) const override
    {
        return choose_least_loaded(context, admit);
    }
};

class sticky_rule final : public placement_rule
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "sticky"; }

    [[nodiscard]] std::optional<std::size_t> choose(const placement_context& context,
                                                    admission_filter admit) const override
    {
        const auto found = choose_by_rendezvous(
            context, [](const placement_candidate&) { return true; }, admit);
        return found ? found : choose_least_loaded(context, admit);
    }
};

/// A random choice in proportion to the room of each endpoint; those without room come after the
/// others, the least loaded first, and avoided ones after these. Endpoints that cannot hold the
/// request come last: the one with the most free tokens is the least likely to exceed its memory.
std::optional<std::size_t> choose_evenly(const placement_context& context, admission_filter admit)
{
    const expected_fill fill{context.candidates, context.unreported};
    using key_type = std::tuple<bool, bool, bool, double, std::uint64_t>;
    const auto key = [&](const placement_candidate& it)
    {
        // A random number for each choice. Also the end of the key: without room, many endpoints
        // have the same load, and a refusal of one must not leave out the others.
        const auto score = rendezvous_score(context.tie_break_seed, it.endpoint.value());
        const double room = it.load < context.allowed ? fill.room(it) : 0;
        // The lowest of exponential variables with these rates is a draw in proportion to them.
        const double order =
            room > 0 ? -std::log(uniform_from_hash(score)) / room : it.load / it.speed;
        return std::optional{it.can_hold ? key_type{false, it.avoided, room <= 0, order, score}
                                         : key_type{true, it.avoided, false,
                                                    -static_cast<double>(it.free_tokens), score}};
    };
    return lowest_admitted(context, key, admit);
}

class even_rule final : public placement_rule
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "even"; }

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
    [[nodiscard]] std::string_view name() const noexcept override { return "sticky_even"; }

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
        const auto found = choose_by_rendezvous(
            context,
            [&](const placement_candidate& it) { return it.can_hold && it.speed >= slowest; },
            admit);
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
