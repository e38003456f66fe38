// Implementation of the rules of placement.
#include "mangovane/forward/placement_rule.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <vector>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

namespace
{

using positions = std::vector<std::size_t>;

/// Positions of all options, ordered by a key.
template <class Key>
positions ordered_by(std::span<const placement_candidate> options, Key key)
{
    positions result(options.size());
    std::iota(result.begin(), result.end(), std::size_t{0});
    std::sort(result.begin(), result.end(),
              [&](std::size_t lhs, std::size_t rhs)
              { return key(options[lhs]) < key(options[rhs]); });
    return result;
}

positions by_load(const placement_context& scene)
{
    return ordered_by(
        scene.options,
        [&](const placement_candidate& it)
        {
            const auto tie = rendezvous_score(scene.tie_break_seed, it.endpoint.value());
            return std::tuple{it.avoided, it.load, it.domain != scene.own_domain, tie};
        });
}

std::optional<std::size_t>
first_admitted(const placement_context& scene, const positions& order, admission_filter admit)
{
    const auto it = std::find_if(order.begin(), order.end(),
                                 [&](std::size_t n) { return admit(scene.options[n]); });
    return it == order.end() ? std::nullopt : std::optional{*it};
}

class even_rule final : public placement_rule
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(const placement_context& scene,
                                                    admission_filter admit) const override
    {
        return first_admitted(scene, by_load(scene), admit);
    }
};

class sticky_rule final : public placement_rule
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(const placement_context& scene,
                                                    admission_filter admit) const override
    {
        const auto order =
            ordered_by(scene.options, [&](const placement_candidate& it)
                       { return ~rendezvous_score(scene.affinity, it.endpoint.value()); });
        const auto has_room = [&](const placement_candidate& it)
        { return !it.avoided && it.load < scene.allowed && admit(it); };
        const auto found = first_admitted(scene, order, has_room);
        return found ? found : first_admitted(scene, by_load(scene), admit);
    }
};

} // namespace

const placement_rule& sticky_placement() noexcept
{
    static const sticky_rule rule;
    return rule;
}

const placement_rule& least_loaded_placement() noexcept
{
    static const even_rule rule;
    return rule;
}

} // namespace mangovane
