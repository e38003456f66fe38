// Load and recent results of all endpoints: exact counts of this instance's own requests, plus the
// counts of the other instances from their digests. Sharded by endpoint.
#ifndef MANGOVANE_FORWARD_ENDPOINT_TRACKER_HPP
#define MANGOVANE_FORWARD_ENDPOINT_TRACKER_HPP

#include <atomic>
#include <cstdint>
#include <mutex>
#include <span>

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/forward/endpoint_record.hpp"
#include "mangovane/membership/endpoint.hpp"

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
    endpoint_load known;       ///< Without the age of the digests.

    auto operator<=>(const endpoint_snapshot&) const = default;
};

class endpoint_tracker
{
public:
    /// Counts an attempt that starts.
    void on_started(endpoint_id endpoint);

    /// Counts the end of an attempt that was started.
    void on_finished(endpoint_id endpoint, health_outcome outcome, time_point now);

    /// Counts the tokens that a request of this instance holds, from its start to its end.
    void on_tokens_held(endpoint_id endpoint, std::uint64_t tokens);
    void on_tokens_released(endpoint_id endpoint, std::uint64_t tokens);

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

    /// Calls `visitor` with the record of each endpoint, in its current incarnation; an empty one
    /// if there is none. Cheapest for endpoints in order of id. The visitor runs under a lock: it
    /// must not call the tracker.
    void visit(std::span<const endpoint_info* const> endpoints,
               absl::FunctionRef<void(const endpoint_info&, const endpoint_record&)> visitor);

    /// See `endpoint_record::try_admit_cold`.
    [[nodiscard]] bool
    try_admit_cold(endpoint_id endpoint, duration interval, duration first_wait, time_point now);

    /// What `try_admit_cold` would return now, without an effect.
    [[nodiscard]] bool
    would_admit_cold(endpoint_id endpoint, duration interval, duration first_wait, time_point now);

    /// Mean age of the other instances' digests; 0 if there is none.
    [[nodiscard]] duration mean_digest_age(time_point now);

    /// Whether an endpoint has ever stated its speed, to this instance or to another one.
    [[nodiscard]] bool speed_stated() const noexcept { return speed_stated_; }

    /// This instance's own requests and recent results, for the other instances. At most
    /// `max_digest_endpoints` endpoints. Held tokens are stated for the endpoints for which
    /// `states_tokens` returns true; it is called under a lock and must not call the tracker.
    [[nodiscard]] load_digest digest(time_point now,
                                     absl::FunctionRef<bool(endpoint_id)> states_tokens);
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

    /// Times at which the digests in force were received.
    struct receipt_times
    {
        std::chrono::microseconds sum{0}; ///< Since the origin of the clock.
        std::int64_t count{0};
    };

    void add(const load_digest& digest, time_point now);
    void on_receipt(time_point at, std::int64_t change);
    void remove(const load_digest& digest);

    sharded_map<endpoint_id, endpoint_record, 16, ordered_shards> records_;
    std::mutex mutex_;
    absl::flat_hash_map<instance_id, received_digest> digests_; ///< Guarded by `mutex_`.
    std::mutex receipts_mutex_; ///< Of its own: each choice of an endpoint takes it for a moment.
    receipt_times receipts_;    ///< Guarded by `receipts_mutex_`.
    std::atomic<bool> speed_stated_{false};
};

} // namespace mangovane

#endif
