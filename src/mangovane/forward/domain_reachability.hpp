// Judges whether this instance can reach the endpoints of a failure domain at all. In a network
// partition a request would otherwise wait for the connection timeout of one endpoint of the lost
// domain after the other.
#ifndef MANGOVANE_FORWARD_DOMAIN_REACHABILITY_HPP
#define MANGOVANE_FORWARD_DOMAIN_REACHABILITY_HPP

#include <mutex>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// A domain is suspected when endpoints of it could not be reached and none has responded since:
/// one endpoint if the instances of the domain have fallen silent too, otherwise several. The
/// suspicion lapses after a time that doubles with each further failure, and ends when an endpoint
/// responds.
class domain_reachability
{
public:
    /// Records a message of an instance in the domain.
    void on_message(domain_id domain, time_point now);

    /// Records that an endpoint of the domain has responded.
    void on_response(domain_id domain);

    /// Records that no connection to an endpoint of the domain could be established.
    void on_unreachable(domain_id domain, endpoint_id endpoint, time_point now);

    /// The domains that are suspected now.
    [[nodiscard]] std::vector<domain_id> suspected(time_point now) const;

    /// The instances of a domain have fallen silent when none has sent a message for this long.
    /// Each of them sends at least one digest per second, or more than one in sum in a large fleet.
    static constexpr milliseconds silence_timeout{1200};

    /// Unreachable endpoints after which a domain is suspected whose instances still send messages.
    static constexpr std::size_t min_unreachable_endpoints = 3;

    static constexpr milliseconds first_suspicion{400};
    static constexpr milliseconds longest_suspicion{3200};

private:
    struct domain_record
    {
        std::vector<endpoint_id> unreachable; ///< Distinct, since the last response of the domain.
        time_point heard_at{};                ///< Last message of an instance; zero: none yet.
        time_point suspected_until{};
        duration next_suspicion{first_suspicion};
    };

    mutable std::mutex mutex_;
    absl::flat_hash_map<domain_id, domain_record> domains_; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
