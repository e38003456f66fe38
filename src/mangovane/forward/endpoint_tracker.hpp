// Load and condition of all endpoints: this instance's own requests, exact, and those of the other
// instances from their digests. State is in shards by endpoint.
#ifndef MANGOVANE_FORWARD_ENDPOINT_TRACKER_HPP
#define MANGOVANE_FORWARD_ENDPOINT_TRACKER_HPP

#include <mutex>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/forward/endpoint_record.hpp"

namespace mangovane
{

/// An endpoint at a moment.
struct endpoint_snapshot
{
    std::uint32_t load{0}; ///< Requests in flight over all instances.
    bool suspended{false};
    attempt_counts counts; ///< Over all instances.

    auto operator<=>(const endpoint_snapshot&) const = default;
};

class endpoint_tracker
{
public:
    void on_started(endpoint_id endpoint);
    void on_finished(endpoint_id endpoint, health_outcome end, time_point now);

    /// Replaces what another instance reported before.
    void on_digest(instance_id from, const load_digest& digest, time_point now);

    /// Forgets instances that have been silent for `digest_ttl`, and idle endpoints.
    void expire(time_point now);

    [[nodiscard]] endpoint_snapshot snapshot_of(endpoint_id endpoint, time_point now);

    [[nodiscard]] bool
    try_admit_cold(endpoint_id endpoint, duration spacing, duration first_wait, time_point now);

    /// What the other instances have to know.
    [[nodiscard]] load_digest digest(time_point now);

    /// A digest that is not renewed counts no longer: its sender has died or is cut off.
    static constexpr milliseconds digest_ttl{4000};

private:
    struct received_digest
    {
        load_digest content;
        time_point heard_at;
    };

    void add(const load_digest& digest);
    void remove(const load_digest& digest);

    sharded_map<endpoint_id, endpoint_record> records_;
    std::mutex mutex_;
    absl::flat_hash_map<instance_id, received_digest> digests_; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
