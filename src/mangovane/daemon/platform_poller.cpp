// Implementation of the platform poller.
#include "mangovane/daemon/platform_poller.hpp"

#include <chrono>
#include <utility>

#include <glog/logging.h>

namespace mangovane
{

namespace
{

milliseconds time_of_day()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

instance_rank position_in(const membership_view& view, instance_id self)
{
    instance_rank result;
    result.count = std::max<std::size_t>(view.members().size(), 1);
    for (const auto& it : view.members())
    {
        result.rank += it.id < self ? 1U : 0U;
    }
    return result;
}

} // namespace

platform_poller::platform_poller(http_platform& platform, coordinator& core)
    : platform_{platform}, core_{core}, watcher_{std::make_shared<settings_watcher>(
                                            settings_store{platform, platform},
                                            core.settings(),
                                            [&core](settings_ptr it) {
                                                return core.adopt_settings(std::move(it),
                                                                           clock::now());
                                            })}
{}

void platform_poller::tick(time_point now)
{
    watcher_->tick(now, time_of_day(), position_in(*core_.view(), core_.state().self().id));
    const auto contact = watcher_->last_contact();
    if (contact && *contact > now - milliseconds{100})
    {
        core_.on_platform_read(now);
    }
    if (now < listed_at_ + list_period || fetching_.exchange(true))
    {
        return;
    }
    listed_at_ = now;
    platform_.fetch(list_timeout_.deadline_from(now),
                    [this, now](absl::StatusOr<discovery_list> list)
                    {
                        list_timeout_ = list_timeout_.after(list.status(), clock::now() - now);
                        on_list(list);
                        fetching_ = false;
                    });
}

void platform_poller::on_list(const absl::StatusOr<discovery_list>& list)
{
    if (!list.ok())
    {
        LOG_EVERY_N(WARNING, 30) << "event=list_unavailable error=\"" << list.status().message()
                                 << '"';
        return;
    }
    core_.on_platform_list(list->instances, std::make_shared<endpoint_directory>(list->endpoints),
                           clock::now());
    has_list_ = true;
}

bool platform_poller::may_become_ready() const
{
    return has_list_ && watcher_->may_become_ready();
}

std::optional<milliseconds> platform_poller::settings_age(time_point now) const
{
    const auto contact = watcher_->last_contact();
    return contact ? std::optional{std::chrono::duration_cast<milliseconds>(now - *contact)}
                   : std::nullopt;
}

} // namespace mangovane
