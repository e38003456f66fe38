// Bounds the share of its own requests that an instance sends to the ordered version.
#ifndef MANGOVANE_ROLLOUT_SHARE_CREDIT_HPP
#define MANGOVANE_ROLLOUT_SHARE_CREDIT_HPP

#include <algorithm>
#include <compare>

namespace mangovane
{

/// Each request of the service earns a fraction of a request to the ordered version. As every
/// instance keeps to this by itself, so does the fleet, whatever the instances know of each other.
class share_credit
{
public:
    /// Counts a request of the service.
    void earn(double share) noexcept { saved_ = std::min(saved_ + share, max_saved); }

    /// Takes one request; false if not enough has been earned.
    [[nodiscard]] bool try_spend() noexcept
    {
        const bool enough = saved_ >= 1;
        saved_ -= enough ? 1 : 0;
        return enough;
    }

    auto operator<=>(const share_credit&) const = default;

private:
    /// Requests that may be saved up: enough for chats to keep their version when they come in
    /// groups, too few for a burst.
    static constexpr double max_saved = 3;

    double saved_{0};
};

} // namespace mangovane

#endif
