// Implementation of the discovery sink.
#include "mangovane/daemon/discovery_sink.hpp"

#include <absl/strings/str_cat.h>

#include "mangovane/daemon/directory_log.hpp"

namespace mangovane
{

void discovery_sink::on_settings(const settings_ptr& settings, time_point now)
{
    core_.adopt_settings(settings, now);
    core_.refresh(now);
}

void discovery_sink::on_endpoints(const std::vector<endpoint_change>& entries,
                                  std::uint64_t revision,
                                  time_point now)
{
    core_.catalog().replace(entries, revision, now);
    core_.refresh(now);
}

void discovery_sink::on_endpoint_changes(const std::vector<endpoint_change>& changes,
                                         std::uint64_t revision,
                                         time_point now)
{
    core_.catalog().apply(changes, revision, now);
    core_.refresh(now);
}

void discovery_sink::on_instances(const std::vector<listed_instance>& instances, time_point now)
{
    core_.on_instance_list(instances, now);
}

void discovery_sink::on_outage(const std::string& reason, time_point now)
{
    core_.catalog().on_outage(now);
    const std::lock_guard lock{mutex_};
    if (reachable_)
    {
        reachable_ = false;
        const auto age = std::chrono::duration_cast<milliseconds>(now - contact_at_).count();
        log_.write(absl::StrCat("event=store_lost reason=\"", reason,
                                "\" last_contact_ms=", contact_at_ == time_point{} ? -1 : age),
                   now);
    }
}

void discovery_sink::on_contact(time_point now)
{
    core_.catalog().on_contact(now);
    const std::lock_guard lock{mutex_};
    contact_at_ = now;
    if (!reachable_)
    {
        reachable_ = true;
        log_.write("event=store_regained", now);
    }
}

void discovery_sink::on_invalid_entry(const std::string& what,
                                      const std::string& reason,
                                      time_point now)
{
    log_.write(absl::StrCat("event=entry_ignored entry=", what, " reason=\"", reason, "\""), now);
}

void discovery_sink::tick(time_point now)
{
    const std::lock_guard lock{mutex_};
    static const endpoint_directory none;
    const auto routes = core_.state().routes();
    if (routes != logged_routes_)
    {
        log_endpoint_changes(logged_routes_ ? logged_routes_->endpoints() : none,
                             routes->endpoints(), now);
        logged_routes_ = routes;
    }
    const auto settings = core_.settings();
    if (settings && settings->stamp.version != logged_version_)
    {
        log_.write(absl::StrCat("event=settings_in_force version=", settings->stamp.version,
                                " before=", logged_version_,
                                " routes=", settings->routes.all().size(),
                                " accounts=", settings->accounts.size(),
                                " domains_out=", settings->domains_out.size()),
                   now);
        logged_version_ = settings->stamp.version;
    }
}

void discovery_sink::log_endpoint_changes(const endpoint_directory& before,
                                          const endpoint_directory& after,
                                          time_point now)
{
    for (const auto& it : directory_changes(before, after, endpoints_revision(), now))
    {
        log_.write(it, now);
    }
}

void discovery_sink::on_polling_stopped()
{
    core_.catalog().on_polling_stopped();
    const std::lock_guard lock{mutex_};
    reachable_ = true;
}

bool discovery_sink::has_initial_state()
{
    return core_.settings() != nullptr && endpoints_revision() != 0;
}

} // namespace mangovane
