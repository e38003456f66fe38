// Admission to the services of an instance. Limits the requests to services that have too little
// room at times; while there is room, every request is sent at once.
//
// The queues divide a full service among the instances. When a service has room again, an instance
// with waiting requests does not know how many others have some too: it starts with its share, and
// takes twice as much after each `room_doubling_time` for which the room lasts. So a queue that
// formed in a short peak does not hold requests back, and a fleet of full queues does not send all
// of them at once.
#ifndef MANGOVANE_ADMISSION_ADMISSION_GATE_HPP
#define MANGOVANE_ADMISSION_ADMISSION_GATE_HPP

#include <atomic>
#include <optional>
#include <vector>

#include "mangovane/admission/admission_queue.hpp"
#include "mangovane/admission/admission_statistics.hpp"
#include "mangovane/core/sharded_map.hpp"
#include "mangovane/forward/service_room.hpp"

namespace mangovane
{

/// Thread-safe; sharded by service.
class admission_gate
{
public:
    /// `seed` differs between instances.
    admission_gate(const admission_policy& policy, std::uint64_t seed)
        : policy_{policy}, seed_{seed}
    {}

    [[nodiscard]] bool enabled() const noexcept { return policy_.enabled; }

    /// Decides on a request that arrives. Requires `room.known()`.
    [[nodiscard]] admission_answer ask(service_id service,
                                       const admission_request& request,
                                       const service_room& room,
                                       time_point now);

    /// Services for which `release` has to be called.
    [[nodiscard]] std::vector<service_id> services_waiting();

    /// Requests whose wait ends now. If the room is not known, all that wait are sent.
    [[nodiscard]] std::vector<admission_outcome>
    release(service_id service, const service_room& room, time_point now);

    /// The caller of a waiting request has left, or the request is answered otherwise.
    void remove(service_id service, std::uint64_t ticket);

    /// Refuses a request whose wait has reached its limit, and frees its place.
    [[nodiscard]] admission_decision
    expire(service_id service, std::uint64_t ticket, const service_room& room, time_point now);

    /// Whether `ask` would send a request at once, without a place in the queue.
    [[nodiscard]] bool would_send(service_id service, const service_room& room);

    /// Reports that are due to the instances of the own domain or to the others: of the services
    /// for which requests wait or have waited lately.
    [[nodiscard]] std::vector<usage_report> take_usage(bool same_domain, time_point now);

    /// What another instance has sent.
    void on_usage(const usage_report& report, time_point now);

    /// Requests that wait now, in all and for one service.
    [[nodiscard]] std::size_t waiting();
    [[nodiscard]] std::size_t waiting(service_id service);

    /// The use of a service is reported for this long after its last request has waited.
    static constexpr milliseconds usage_report_time{2000};

    [[nodiscard]] admission_statistics& statistics() noexcept { return statistics_; }

    /// Below this many requests in flight for each slot of a service, a request is sent at once
    /// unless others wait. What exceeds the slots waits at the endpoints for the time of one more
    /// response: a slot that becomes free is known to the other instances only after a digest, and
    /// would be idle until then.
    static constexpr double max_utilization = 2;

    /// The share of an instance whose requests wait doubles in this time while the service has
    /// room. At least the time in which the requests of others become known.
    static constexpr milliseconds room_doubling_time{200};

private:
    struct service_entry
    {
        service_entry(const admission_policy& policy, std::uint64_t seed, time_point now)
            : queue{policy, seed, now}
        {}

        admission_queue queue;
        /// Since when the service has room while requests wait; empty: it has none, or none wait.
        std::optional<time_point> room_since;
        std::optional<time_point> waited_at; ///< When a request waited last; empty: never.
    };

    [[nodiscard]] static bool has_room(const service_room& room) noexcept
    {
        return room.utilization() < max_utilization;
    }

    /// The room as the queue of an entry may use it now.
    [[nodiscard]] static admission_room
    usable_room(service_entry& entry, const service_room& room, time_point now);

    const admission_policy policy_;
    const std::uint64_t seed_;
    sharded_map<service_id, service_entry> services_; ///< With a queue that was needed once.
    admission_statistics statistics_;
};

} // namespace mangovane

#endif
