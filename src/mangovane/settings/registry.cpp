// Implementation of the settings registry.
#include "mangovane/settings/registry.hpp"

#include <utility>

namespace mangovane
{

adopt_result settings_registry::adopt(settings_ptr snapshot)
{
    const std::lock_guard lock{mutex_};
    if (current_ && snapshot->stamp.version == current_->stamp.version &&
        snapshot->stamp.content == current_->stamp.content &&
        snapshot->stamp.digest != current_->stamp.digest)
    {
        return adopt_result::digest_conflict;
    }
    if (current_ && !snapshot->stamp.newer_than(current_->stamp))
    {
        return adopt_result::not_newer;
    }
    if (snapshot->stamp.newer_than(newest_observed_))
    {
        newest_observed_ = snapshot->stamp;
    }
    current_ = std::move(snapshot);
    return adopt_result::adopted;
}

settings_ptr settings_registry::current() const
{
    const std::lock_guard lock{mutex_};
    return current_;
}

void settings_registry::observe_version(settings_stamp stamp)
{
    const std::lock_guard lock{mutex_};
    if (stamp.newer_than(newest_observed_))
    {
        newest_observed_ = stamp;
    }
}

settings_stamp settings_registry::newest_observed() const
{
    const std::lock_guard lock{mutex_};
    return newest_observed_;
}

bool settings_registry::is_current() const
{
    const std::lock_guard lock{mutex_};
    return current_ && !newest_observed_.newer_than(current_->stamp);
}

} // namespace mangovane
