// Orders rollouts, as an operator does, and lets endpoints follow their status.
#ifndef MANGOVANE_SOAK_ROLLOUT_DRIVER_HPP
#define MANGOVANE_SOAK_ROLLOUT_DRIVER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "soak/deployment.hpp"

namespace mangovane::soak
{

class rollout_driver
{
public:
    /// `fleet` and `recorder` must outlive the object.
    rollout_driver(deployment& fleet, observation_recorder& recorder)
        : fleet_{fleet}, recorder_{recorder}
    {}

    /// Starts endpoints of a new version and orders it. `random_value` determines whether the
    /// version is bad. Does nothing while a rollout is in progress.
    void begin(std::uint64_t random_value);

    /// Records the status, and stops or drains endpoints that are due.
    void advance(time_point now);

    /// Whether a rollout is in progress, or its endpoints are still to be removed.
    [[nodiscard]] bool pending() const noexcept { return running_ || !removals_.empty(); }

private:
    /// An endpoint of a version that was rolled back.
    struct removal
    {
        endpoint* target{nullptr};
        time_point drain_at{};
        time_point remove_at{};
    };

    [[nodiscard]] std::vector<endpoint*> endpoints_of(const std::string& version) const;
    void record_status(time_point now);
    void finish(bool done, time_point now);
    void remove_due(time_point now);

    deployment& fleet_;
    observation_recorder& recorder_;
    std::optional<rollout_order> order_; ///< The last one; its status is recorded up to the end.
    bool running_{false};
    std::string seen_; ///< State in the status row when it was last read.
    std::vector<removal> removals_;
};

} // namespace mangovane::soak

#endif
