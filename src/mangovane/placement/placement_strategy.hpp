// Placement: in which order endpoints are tried for a request. Strategy objects; no sockets, clock
// or randomness.
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

/// An endpoint that may serve the request, with the load that was last heard of it.
struct candidate
{
    endpoint_id endpoint;
    std::uint32_t reported_load{0}; ///< Lagged; exact loads are asked from the owners.

    auto operator<=>(const candidate&) const = default;
};

/// What a strategy decides on.
struct placement_query
{
    std::uint64_t key{0};     ///< Hash of the chat, or of the request when it has none.
    std::uint64_t seed{0};    ///< Source of chance for this decision.
    chat_locations locations; ///< Empty for a new chat.
    std::span<const candidate> candidates; ///< Allowed endpoints, in order of id.
    std::uint32_t sample_size{6};
};

/// What to do, in this order.
struct placement_plan
{
    std::vector<endpoint_id> warm;   ///< Hold the prefix, best first; waiting at the first may pay.
    std::vector<endpoint_id> sample; ///< Ask their loads and take the least loaded.
    std::vector<endpoint_id> fallback; ///< Try in this order when all else refuses.

    bool operator==(const placement_plan&) const = default;
};

class placement_strategy
{
public:
    virtual ~placement_strategy() = default;
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;
    [[nodiscard]] virtual placement_plan plan(const placement_query& query) const = 0;
};

/// The policy in use: the chat's last two endpoints, then the least loaded of a random sample.
[[nodiscard]] std::unique_ptr<placement_strategy> make_last_two_strategy();

/// The policy in use (last_two) and the baselines of the bench by name: random, round_robin,
/// least_loaded_lagged, modulo, bounded_hash.
/// Null for an unknown name.
[[nodiscard]] std::unique_ptr<placement_strategy> make_strategy(std::string_view name);

/// Names that `make_strategy` accepts.
[[nodiscard]] std::span<const std::string_view> strategy_names() noexcept;

} // namespace mangovane

#endif
