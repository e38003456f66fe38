// Load and recent results of all endpoints: exact counts of this instance's own requests, plus the
// counts of the other instances from their digests. Sharded by endpoint.
#ifndef MANGOVANE_FORWARD_ENDPOINT_TRACKER_HPP
#define MANGOVANE_FORWARD_ENDPOINT_TRACKER_HPP

#include <mutex>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/forward/endpoint_record.hpp"

namespace mangovane
{

/// Load and health of an endpoint at one point in time.
struct endpoint_snapshot
{
    std::uint32_t load{0}; ///< Requests in flight over all instances.
    bool suspended{false}; ///< Avoided by this instance for now: it was recently unreachable, full
                           ///< or replaced.
    bool leaving{false};   ///< It has told this instance that it is leaving.
    time_point closed_until{}; ///< It has told this instance to send nothing until then.
    attempt_counts counts;     ///< Recent attempts of all instances.

    auto operator<=>(const endpoint_snapshot&) const = default;
};

class endpoint_tracker
{
public:
    /// Counts an attempt that starts.
    void on_started(endpoint_id endpoint);

    /// Counts the end of an attempt that was started.
    void on_finished(endpoint_id endpoint, health_outcome outcome, time_point now);

    /// Replaces the previous digest of another instance.
    void on_digest(instance_id from, const load_digest& digest, time_point now);

    /// Drops digests that were not renewed for `digest_ttl`, and records that are no longer
    /// needed.
    void expire(time_point now);

    /// See `endpoint_record::on_notice`.
    void on_notice(endpoint_id endpoint,
                   incarnation epoch,
                   const endpoint_notice& notice,
                   time_point now);

    /// Current state of an endpoint, in its current incarnation; all zero when it has no record.
    [[nodiscard]] endpoint_snapshot
    snapshot_of(endpoint_id endpoint, incarnation epoch, time_point now);

    /// See `endpoint_record::try_admit_cold`.
    [[nodiscard]] bool
    try_admit_cold(endpoint_id endpoint, duration interval, duration first_wait, time_point now);

    /// This instance's own requests and recent results, for the other instances. At most
    /// `max_digest_endpoints` endpoints.
    [[nodiscard]] load_digest digest(time_point now);

    /// A digest that is not renewed for this long no longer counts: its sender has crashed or is
    /// unreachable.
    static constexpr milliseconds digest_ttl{4000};

private:
    struct received_digest
    {
        load_digest content;
        time_point received_at;
    };

    void add(const load_digest& digest);
    void remove(const load_digest& digest);

    sharded_map<endpoint_id, endpoint_record> records_;
    std::mutex mutex_;
    absl::flat_hash_map<instance_id, received_digest> digests_; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
