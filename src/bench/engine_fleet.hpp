// Model of the engines of a service and of the ledgers of their owners, with exact counts.
#ifndef MANGOVANE_BENCH_ENGINE_FLEET_HPP
#define MANGOVANE_BENCH_ENGINE_FLEET_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "bench/prefix_cache.hpp"
#include "mangovane/ledger/bound.hpp"
#include "mangovane/placement/placement_strategy.hpp"

namespace mangovane::bench
{

/// A request in the queue of an engine's owner.
struct queued_request
{
    std::uint32_t request{0};
    std::uint64_t attempt{0};
    slot_purpose purpose{slot_purpose::returning_chat};

    auto operator<=>(const queued_request&) const = default;
};

struct engine
{
    endpoint_id id;
    bool accepting{true}; ///< Accepts new requests.
    std::uint32_t in_flight{0};
    prefix_cache cache;
    std::deque<queued_request> queue; ///< In order of arrival; may hold stale attempts.
};

/// An index identifies an engine for the whole run. A position identifies the engine that is in
/// service there now; a replacement gets the same position and a new index.
class engine_fleet
{
public:
    engine_fleet(service_policy policy, std::size_t engines, std::uint64_t cache_units);

    /// Acquires a slot without waiting if the load bound allows the purpose.
    [[nodiscard]] bool try_acquire_slot(std::size_t index, slot_purpose purpose);
    void release_slot(std::size_t index);

    /// Replaces an engine by one with an empty cache; running requests complete on the old one.
    void replace_engine(std::size_t position);
    /// Takes an engine out of service or returns it; its cache is kept.
    void set_accepting(std::size_t position, bool accepting);
    /// Copies the current loads to the candidates, like a load report to the routers.
    void publish_loads();

    /// Accepting engines in order of id, with the last published loads.
    [[nodiscard]] std::span<const candidate> candidates() const noexcept { return candidates_; }
    [[nodiscard]] std::size_t index_of(endpoint_id id) const { return indexes_.at(id); }
    [[nodiscard]] engine& at(std::size_t index) { return engines_[index]; }
    [[nodiscard]] const service_load& load() const noexcept { return load_; }
    [[nodiscard]] const service_policy& policy() const noexcept { return policy_; }
    [[nodiscard]] std::size_t positions() const noexcept { return positions_.size(); }

private:
    std::size_t add_engine();
    void rebuild_candidates();

    service_policy policy_;
    std::uint64_t cache_units_;
    service_load load_;                  ///< Sums over the accepting engines.
    std::deque<engine> engines_;         ///< Replaced engines stay and do not accept.
    std::vector<std::size_t> positions_; ///< Index of the engine in service at each position.
    absl::flat_hash_map<endpoint_id, std::size_t> indexes_;
    std::vector<candidate> candidates_;
};

} // namespace mangovane::bench

#endif
