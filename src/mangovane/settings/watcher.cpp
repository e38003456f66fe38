// Implementation of the watcher.
#include "mangovane/settings/watcher.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "mangovane/settings/parse.hpp"

namespace mangovane
{

namespace
{

/// Timeout of one call to the platform.
constexpr milliseconds call_timeout{2000};

/// Minimum interval between two fetches of a text from the platform.
constexpr milliseconds min_fetch_interval{1000};

} // namespace

milliseconds head_poll_period(std::size_t instances) noexcept
{
    const milliseconds shared{1000 * instances / max_fleet_head_reads_per_s};
    return std::max(min_head_poll_period, shared);
}

settings_watcher::settings_watcher(settings_store store,
                                   settings_registry& registry,
                                   adopt_function adopt)
    : store_{store}, registry_{registry}, adopt_{std::move(adopt)}
{}

void settings_watcher::tick(time_point now, milliseconds since_epoch, instance_rank position)
{
    if (is_head_read_due(now, since_epoch, position))
    {
        read_head(now);
    }
    if (is_text_fetch_due(now, position))
    {
        fetch_version(registry_.newest_observed().version.number, now);
    }
}

bool settings_watcher::is_head_read_due(time_point now,
                                        milliseconds since_epoch,
                                        instance_rank position)
{
    const auto period = head_poll_period(position.count);
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(position.count, 1));
    const auto phase = period * static_cast<std::int64_t>(position.rank) / count;
    const auto slot = (since_epoch - phase) / period;
    const std::lock_guard lock{mutex_};
    // The wall clock may jump, so the steady clock limits the rate.
    const bool too_soon = last_read_ && now - *last_read_ < min_head_poll_period;
    if (reading_head_ || too_soon || (last_read_ && slot == last_poll_interval_))
    {
        return false;
    }
    reading_head_ = true;
    last_read_ = now;
    last_poll_interval_ = slot;
    return true;
}

bool settings_watcher::is_text_fetch_due(time_point now, instance_rank position)
{
    const bool current = registry_.is_current() || registry_.newest_observed().version == 0;
    const std::lock_guard lock{mutex_};
    if (current)
    {
        outdated_since_.reset();
        return false;
    }
    if (!outdated_since_)
    {
        outdated_since_ = now;
    }
    const auto earliest_delay =
        peer_response_timeout + platform_read_stagger * static_cast<std::int64_t>(position.rank);
    const bool paused = fetched_at_ && now - *fetched_at_ < min_fetch_interval;
    if (fetching_ || paused || now - *outdated_since_ < earliest_delay)
    {
        return false;
    }
    fetching_ = true;
    fetched_at_ = now;
    return true;
}

std::uint64_t settings_watcher::current_version() const
{
    const auto current = registry_.current();
    return current ? current->stamp.version.number : 0;
}

void settings_watcher::read_head(time_point now)
{
    store_.read_head(now + call_timeout,
                     [weak = weak_from_this(), now](const auto& head)
                     {
                         if (const auto self = weak.lock())
                         {
                             self->on_head(head, now);
                         }
                     });
}

void settings_watcher::on_head(const absl::StatusOr<std::optional<settings_record>>& head,
                               time_point requested_at)
{
    const bool newer = head.ok() && *head && (*head)->version > current_version();
    bool fetch = false;
    {
        const std::lock_guard lock{mutex_};
        reading_head_ = false;
        platform_ = head.ok() ? platform_state::reached : platform_state::unreachable;
        if (head.ok())
        {
            last_contact_ = requested_at;
        }
        fetch = newer && !fetching_;
        fetching_ = fetching_ || fetch;
    }
    if (head.ok() && *head)
    {
        registry_.observe_version((*head)->stamp());
    }
    if (fetch)
    {
        fetch_text(**head, requested_at + 2 * call_timeout);
    }
}

void settings_watcher::fetch_version(std::uint64_t version, time_point now)
{
    const auto deadline = now + call_timeout;
    store_.read_version(version, deadline,
                        [weak = weak_from_this(), deadline](const auto& head)
                        {
                            const auto self = weak.lock();
                            if (self && head.ok() && *head)
                            {
                                self->fetch_text(**head, deadline);
                            }
                            else if (self)
                            {
                                self->end_fetch();
                            }
                        });
}

void settings_watcher::fetch_text(const settings_record& head, time_point deadline)
{
    store_.read_text(head, deadline,
                     [weak = weak_from_this(), head](const absl::StatusOr<std::string>& text)
                     {
                         const auto self = weak.lock();
                         if (!self)
                         {
                             return;
                         }
                         self->end_fetch();
                         if (text.ok())
                         {
                             self->adopt_text(head.stamp(), *text, &head);
                         }
                         else
                         {
                             self->set_last_error(std::string{text.status().message()});
                         }
                     });
}

void settings_watcher::end_fetch()
{
    const std::lock_guard lock{mutex_};
    fetching_ = false;
}

std::optional<outgoing_message>
settings_watcher::on_announced(instance_id peer, settings_stamp stamp, time_point now)
{
    registry_.observe_version(stamp);
    const auto current = registry_.current();
    const auto have = current ? current->stamp : settings_stamp{};
    if (!stamp.newer_than(have))
    {
        return std::nullopt;
    }
    const std::lock_guard lock{mutex_};
    if (fetching_ || (peer_queried_at_ && now - *peer_queried_at_ < peer_response_timeout))
    {
        return std::nullopt;
    }
    peer_queried_at_ = now;
    return outgoing_message{peer, settings_query{have}};
}

std::optional<settings_content> settings_watcher::on_query(const settings_query& msg) const
{
    const auto current = registry_.current();
    if (!current || !current->stamp.newer_than(msg.known_stamp) ||
        current->text.size() > max_peer_text_bytes)
    {
        return std::nullopt;
    }
    return settings_content{current->stamp, current->text};
}

void settings_watcher::on_content(const settings_content& msg)
{
    if (msg.stamp.version <= current_version())
    {
        return;
    }
    if (hash_bytes(msg.text) != msg.stamp.digest)
    {
        set_last_error("a peer sent a text that does not match its digest");
        return;
    }
    adopt_text(msg.stamp, msg.text, nullptr);
}

void settings_watcher::adopt_text(settings_stamp stamp,
                                  std::string text,
                                  const settings_record* head)
{
    auto parsed = parse_settings(std::move(text), stamp.version.number);
    if (!parsed.ok())
    {
        set_last_error(absl::StrCat("version ", stamp.version.number,
                                    " was rejected: ", std::string{parsed.status().message()}));
        return;
    }
    auto snapshot = *std::move(parsed);
    if (head != nullptr)
    {
        auto attributed = std::make_shared<settings_snapshot>(*snapshot);
        attributed->change_id = head->change_id;
        attributed->author = head->author;
        snapshot = std::move(attributed);
    }
    const auto result = adopt_(std::move(snapshot));
    set_last_error(
        result == adopt_result::digest_conflict
            ? absl::StrCat("version ", stamp.version.number, " exists with two different texts")
            : std::string{});
}

void settings_watcher::set_last_error(std::string error)
{
    const std::lock_guard lock{mutex_};
    last_error_ = std::move(error);
}

bool settings_watcher::may_become_ready() const
{
    const bool current = registry_.is_current();
    const std::lock_guard lock{mutex_};
    return current && platform_ != platform_state::unknown;
}

std::optional<time_point> settings_watcher::last_contact() const
{
    const std::lock_guard lock{mutex_};
    return last_contact_;
}

std::string settings_watcher::last_error() const
{
    const std::lock_guard lock{mutex_};
    return last_error_;
}

} // namespace mangovane
