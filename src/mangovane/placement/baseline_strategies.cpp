// Baseline strategies for the benchmarks, and the table of all strategies by name.
#include <algorithm>
#include <array>
#include <atomic>
#include <numeric>

#include "mangovane/core/hash.hpp"
#include "mangovane/placement/placement_strategy.hpp"

namespace mangovane
{

namespace
{

/// All candidates, starting at a position and wrapping around.
placement_plan rotate_candidates(std::span<const candidate> candidates, std::uint64_t start)
{
    placement_plan result;
    result.fallback.reserve(candidates.size());
    for (std::size_t n = 0; n != candidates.size(); ++n)
    {
        result.fallback.push_back(candidates[(start + n) % candidates.size()].endpoint);
    }
    return result;
}

/// All candidates in order of a score, lowest first.
template <class Score>
placement_plan by_score(std::span<const candidate> candidates, Score score)
{
    using scored = std::pair<decltype(score(candidates.front())), endpoint_id>;
    std::vector<scored> order;
    order.reserve(candidates.size());
    for (const auto& it : candidates)
    {
        order.emplace_back(score(it), it.endpoint);
    }
    std::sort(order.begin(), order.end());
    placement_plan result;
    result.fallback.reserve(order.size());
    for (const auto& it : order)
    {
        result.fallback.push_back(it.second);
    }
    return result;
}

class random_strategy final : public placement_strategy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "random"; }

    [[nodiscard]] placement_plan plan(const placement_query& query) const override
    {
        return by_score(query.candidates, [&](const candidate& it)
                        { return hash_combine(query.seed, it.endpoint.value()); });
    }
};

class round_robin_strategy final : public placement_strategy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "round_robin"; }

    [[nodiscard]] placement_plan plan(const placement_query& query) const override
    {
        return rotate_candidates(query.candidates, next_.fetch_add(1, std::memory_order_relaxed));
    }

private:
    mutable std::atomic<std::uint64_t> next_{0};
};

class least_loaded_lagged_strategy final : public placement_strategy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "least_loaded_lagged"; }

    [[nodiscard]] placement_plan plan(const placement_query& query) const override
    {
        return by_score(
            query.candidates,
            [&](const candidate& it) {
                return std::pair{it.reported_load, hash_combine(query.seed, it.endpoint.value())};
            });
    }
};

class modulo_strategy final : public placement_strategy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "modulo"; }

    [[nodiscard]] placement_plan plan(const placement_query& query) const override
    {
        return rotate_candidates(query.candidates,
                                 query.key % std::max<std::size_t>(query.candidates.size(), 1));
    }
};

/// Rendezvous order of the key. When the owner refuses because of the load bound, the next
/// endpoint is tried.
class bounded_hash_strategy final : public placement_strategy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "bounded_hash"; }

    [[nodiscard]] placement_plan plan(const placement_query& query) const override
    {
        return by_score(query.candidates, [&](const candidate& it)
                        { return ~rendezvous_score(query.key, it.endpoint.value()); });
    }
};

template <class Strategy>
std::unique_ptr<placement_strategy> make()
{
    return std::make_unique<Strategy>();
}

struct named_strategy
{
    std::string_view name;
    std::unique_ptr<placement_strategy> (*make)();
};

constexpr std::array table{
    named_strategy{"last_two", &make_last_two_strategy},
    named_strategy{"random", &make<random_strategy>},
    named_strategy{"round_robin", &make<round_robin_strategy>},
    named_strategy{"least_loaded_lagged", &make<least_loaded_lagged_strategy>},
    named_strategy{"modulo", &make<modulo_strategy>},
    named_strategy{"bounded_hash", &make<bounded_hash_strategy>},
};

constexpr auto names = []
{
    std::array<std::string_view, table.size()> result;
    std::transform(table.begin(), table.end(), result.begin(),
                   [](const named_strategy& it) { return it.name; });
    return result;
}();

} // namespace

std::unique_ptr<placement_strategy> make_strategy(std::string_view name)
{
    const auto it = std::find_if(table.begin(), table.end(),
                                 [&](const named_strategy& entry) { return entry.name == name; });
    return it == table.end() ? nullptr : it->make();
}

std::span<const std::string_view> strategy_names() noexcept
{
    return names;
}

} // namespace mangovane
