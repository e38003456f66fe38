// Implementation of the view log.
#include "mangovane/daemon/view_log.hpp"

#include <array>
#include <string_view>

#include <glog/logging.h>

namespace mangovane
{

namespace
{

constexpr std::array<std::string_view, 4> state_names{"alive", "suspect", "dead", "left"};

} // namespace

bool view_log::on_view(const membership_view& view)
{
    if (view.version() == view_version_)
    {
        return false;
    }
    view_version_ = view.version();
    absl::flat_hash_map<instance_id, member_state> states;
    for (const auto& it : view.members())
    {
        states.emplace(it.id, it.state);
        const auto before = states_.find(it.id);
        if (before == states_.end() || before->second != it.state)
        {
            LOG(INFO) << "event=member_changed name=" << it.name
                      << " state=" << state_names[static_cast<std::size_t>(it.state)]
                      << " eligible=" << it.eligible << " members=" << view.members().size();
        }
    }
    for (const auto& [id, state] : states_)
    {
        if (!states.contains(id))
        {
            LOG(INFO) << "event=member_gone id=" << std::hex << id.value() << std::dec
                      << " members=" << view.members().size();
        }
    }
    states_ = std::move(states);
    return true;
}

void view_log::on_settings(const settings_ptr& settings)
{
    if (settings && settings->stamp.version.number != settings_version_)
    {
        settings_version_ = settings->stamp.version.number;
        LOG(INFO) << "event=settings_in_force version=" << settings_version_
                  << " change_id=" << settings->change_id << " author=" << settings->author;
    }
}

} // namespace mangovane
