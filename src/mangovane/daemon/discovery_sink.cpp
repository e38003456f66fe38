// Implementation of the discovery sink.
#include "mangovane/daemon/discovery_sink.hpp"

#include <absl/strings/escaping.h>
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
                                  store_revision revision,
                                  time_point now)
{
    core_.catalog().replace(entries, revision, now);
    core_.refresh(now);
}

void discovery_sink::on_endpoint_changes(const std::vector<endpoint_change>& changes,
                                         store_revision revision,
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
    ++store_.failures;
    store_.last_failure = reason;
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
    store_.answered = true;
    store_.failures = 0;
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
    // The name is another writer's, and must not end the line.
    log_.write(absl::StrCat("event=entry_ignored entry=", absl::Utf8SafeCEscape(what), " reason=\"",
                            reason, "\""),
               now);
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
    if (const auto change = core_.catalog().take_era_change())
    {
        log_.write(absl::StrCat("event=store_era era=", change->after.era,
                                " before=", change->before.era, " revision=", change->after.number,
                                " revision_before=", change->before.number,
                                " settings=", settings ? settings->stamp.version.number : 0,
                                " taken=", change->taken, " kept=", change->kept,
                                " missing=", change->missing),
                   now);
    }
    // The same text under another revision is no change.
    if (settings && settings->stamp.digest != logged_digest_)
    {
        logged_digest_ = settings->stamp.digest;
        log_.write(
            absl::StrCat("event=settings_in_force version=", to_log_text(settings->stamp.version),
                         " before=", to_log_text(logged_version_), " routes=",
                         settings->routes.all().size(), " accounts=", settings->accounts.size(),
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

readiness discovery_sink::current_readiness()
{
    readiness result;
    result.has_settings = core_.settings() != nullptr;
    result.has_endpoints = endpoints_revision().known();
    result.members = core_.view()->members().size();
    const std::lock_guard lock{mutex_};
    result.store = store_;
    return result;
}

} // namespace mangovane
