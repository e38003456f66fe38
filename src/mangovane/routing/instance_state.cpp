// Implementation of the instance state.
#include "mangovane/routing/instance_state.hpp"

#include <utility>

namespace mangovane
{

instance_state::instance_state(member self, detector_timing timing, std::uint64_t seed)
    : self_{self}, members_{std::move(self), timing, seed},
      endpoints_{std::make_shared<endpoint_directory>()}
{
    rebuild();
}

routing_table_ptr instance_state::routes() const
{
    const std::lock_guard lock{mutex_};
    return routes_;
}

adopt_result instance_state::adopt(settings_ptr settings)
{
    const auto stamp = settings->stamp;
    const auto result = settings_.adopt(std::move(settings));
    if (result == adopt_result::adopted)
    {
        members_.set_settings_stamp(stamp);
        rebuild();
    }
    return result;
}

bool instance_state::set_endpoints(endpoints_ptr endpoints)
{
    {
        const std::lock_guard lock{mutex_};
        if (*endpoints_ == *endpoints)
        {
            return false;
        }
        endpoints_ = std::move(endpoints);
    }
    rebuild();
    return true;
}

void instance_state::rebuild()
{
    static const auto no_settings = std::make_shared<const settings_snapshot>();
    // Read under the lock, so that the last of concurrent rebuilds uses the newest settings.
    const std::lock_guard lock{mutex_};
    auto settings = settings_.current();
    routes_ = std::make_shared<routing_table>(endpoints_, settings ? settings : no_settings);
}

} // namespace mangovane
