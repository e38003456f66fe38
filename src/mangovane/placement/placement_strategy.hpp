// Strategies that decide the order in which endpoints are tried for a request, at instances whose
// endpoints have owners. Strategy objects without sockets, clock or random source.
#ifndef MANGOVANE_PLACEMENT_PLACEMENT_STRATEGY_HPP
#define MANGOVANE_PLACEMENT_PLACEMENT_STRATEGY_HPP

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/message/chat.hpp"

namespace mangovane
{

/// An endpoint that may serve the request, with its last reported load.
struct candidate
{
    endpoint_id endpoint;
    /// Requests in flight, with delay; owners return the exact load.
    std::uint32_t reported_load{0};

    auto operator<=>(const candidate&) const = default;
};

/// Input of a placement strategy.
struct placement_query
{
    std::uint64_t key{0};     ///< Hash of the chat, or of the request when it has none.
    std::uint64_t seed{0};    ///< Random seed of this decision.
    chat_locations locations; ///< Empty for a new chat.
    std::span<const candidate> candidates; ///< Allowed endpoints, in order of id.
    std::uint32_t sample_size{6};          ///< Endpoints whose exact load is queried.
};

/// Endpoints to try, in this order.
struct placement_plan
{
    /// Endpoints that probably cache the prefix, best first; waiting for the first can be faster
    /// than computing the prefix elsewhere.
    std::vector<endpoint_id> warm;
    std::vector<endpoint_id> sample;   ///< Query their loads and take the least loaded.
    std::vector<endpoint_id> fallback; ///< Tried in this order when all others refuse.

    bool operator==(const placement_plan&) const = default;
};

class placement_strategy
{
public:
    virtual ~placement_strategy() = default;

    /// Name in the table of strategies.
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /// Plans the attempts of a request; empty without candidates. Called from any thread.
    [[nodiscard]] virtual placement_plan plan(const placement_query& query) const = 0;
};

/// The production strategy: the chat's last two endpoints, then the least loaded of a random
/// sample.
[[nodiscard]] std::unique_ptr<placement_strategy> make_last_two_strategy();

/// Creates a strategy by name: `last_two` is the production strategy; `random`, `round_robin`,
/// `least_loaded_lagged`, `modulo` and `bounded_hash` are baselines for the benchmarks. Null for an
/// unknown name.
[[nodiscard]] std::unique_ptr<placement_strategy> make_strategy(std::string_view name);

/// Names that `make_strategy` accepts.
[[nodiscard]] std::span<const std::string_view> strategy_names() noexcept;

} // namespace mangovane

#endif
