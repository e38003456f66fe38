// Which endpoint versions of one service an operator has allowed. Answers an endpoint that appears
// before the order that concerns it is known: requests must not reach a version that nobody
// ordered.
#ifndef MANGOVANE_ROLLOUT_SERVICE_VERSIONS_HPP
#define MANGOVANE_ROLLOUT_SERVICE_VERSIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Listed endpoints of a service by version.
using version_counts = absl::btree_map<std::string, std::uint32_t>;

/// Standing of a version outside of a rollout.
enum class version_standing : std::uint8_t
{
    held,    ///< It appeared a short time ago; an order may be on its way.
    allowed, ///< In force.
    barred,  ///< A rollout has ended against it; only a new order allows it.
};

/// Not thread-safe.
class service_versions
{
public:
    /// Takes the listed endpoints. Of the versions of the first list, the one with most endpoints
    /// is in force, as it is unknown which were there before.
    void observe(const version_counts& listed, time_point now);

    /// Ends the hold of versions that appeared `hold_time` ago. Not for use while a rollout is
    /// running: no version but its two is allowed then.
    void release_held(time_point now);

    /// Rollouts of `version`: an order arrives, ends well, or ends otherwise. At the order, the
    /// other versions that are listed count as in force if none of them is.
    void on_ordered(const std::string& version);
    void on_done(const std::string& version);
    void on_withdrawn(const std::string& version);

    /// Whether this version, and no other one, is in force.
    [[nodiscard]] bool is_only_one(const std::string& version) const;

    /// Versions with this standing, without `except`.
    [[nodiscard]] std::vector<std::string> with_standing(version_standing standing,
                                                         const std::string* except = nullptr) const;

    static constexpr milliseconds hold_time{3000};

private:
    struct entry
    {
        version_standing standing{version_standing::held};
        time_point since{}; ///< When it appeared.

        auto operator<=>(const entry&) const = default;
    };

    absl::btree_map<std::string, entry> entries_;
};

} // namespace mangovane

#endif
