// Implementation of the placement rules.
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

} // namespace

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
