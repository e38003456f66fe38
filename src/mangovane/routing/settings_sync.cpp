// Implementation of the settings synchronisation.
#include "mangovane/routing/settings_sync.hpp"

#include <utility>

#include "mangovane/settings/parse.hpp"

namespace mangovane
{

settings_sync::settings_sync(instance_state& state,
                             settings_parser parser,
                             milliseconds min_query_interval)
    : state_{state}, parser_{parser ? std::move(parser) : settings_parser{&parse_settings}},
      min_query_interval_{min_query_interval}
{}

outgoing_messages settings_sync::on(instance_id from, const settings_query& msg) const
{
    const auto current = state_.settings().current();
    if (!current || !current->stamp.newer_than(msg.known_stamp))
    {
        return {};
    }
    return {{from, settings_content{current->stamp, current->text}}};
}

void settings_sync::on(instance_id, const settings_content& msg)
{
    const auto current = state_.settings().current();
    if (current && !msg.stamp.newer_than(current->stamp))
    {
        return;
    }
    auto parsed = parser_(msg.text, msg.stamp.version);
    if (parsed.ok() && (*parsed)->stamp == msg.stamp)
    {
        state_.adopt(*parsed);
    }
}

outgoing_messages settings_sync::tick(time_point now)
{
    instance_id source;
    const auto newest = state_.members().newest_settings_stamp(source);
    state_.settings().observe_version(newest);
    const auto current = state_.settings().current();
    const auto have = current ? current->stamp : settings_stamp{};
    if (!newest.newer_than(have) || source == state_.self().id)
    {
        return {};
    }
    const std::lock_guard lock{mutex_};
    if (now < queried_at_ + min_query_interval_)
    {
        return {};
    }
    queried_at_ = now;
    return {{source, settings_query{have}}};
}

} // namespace mangovane
