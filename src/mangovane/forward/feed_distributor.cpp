// Implementation of the feed distributor.
#include "mangovane/forward/feed_distributor.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

feed_state feed_distributor::own_state(time_point now) const
{
    const auto settings = state_.settings().current();
    const auto age = catalog_.contact_age(now);
    const auto ms = age ? std::min<std::int64_t>(age->count(), UINT32_MAX) : UINT32_MAX;
    return {settings ? settings->stamp : settings_stamp{}, catalog_.revision(),
            static_cast<std::uint32_t>(ms)};
}

std::optional<bool> feed_distributor::next_query(pending_query& it,
                                                 instance_id to,
                                                 store_revision known_version,
                                                 milliseconds interval,
                                                 time_point now)
{
    if (now < it.last_at + interval)
    {
        return std::nullopt;
    }
    it.last_at = now;
    const bool repeated = it.to == to && it.known_version == known_version;
    const bool renew = repeated && now >= it.first_at + progress_timeout;
    if (!repeated || renew)
    {
        it.to = to;
        it.known_version = known_version;
        it.first_at = now;
    }
    return renew;
}

outgoing_messages feed_distributor::on(instance_id from, const feed_state& msg, time_point now)
{
    election_.on_state(from, msg, *state_.view(), now);
    if (milliseconds{msg.age_ms} <= reader_election::max_fresh_age)
    {
        catalog_.on_peer_contact(now);
    }
    const auto own = own_state(now);
    outgoing_messages result;
    const std::lock_guard lock{mutex_};
    if (msg.endpoints_revision > own.endpoints_revision)
    {
        const auto known_version = own.endpoints_revision;
        if (const auto renew =
                next_query(endpoints_query_, from, known_version, endpoint_query_interval, now))
        {
            result.push_back({from, endpoint_query{known_version}, *renew});
        }
    }
    if (msg.settings.newer_than(own.settings))
    {
        const auto known_version = own.settings.version;
        if (const auto renew =
                next_query(settings_query_, from, known_version, settings_query_interval, now))
        {
            result.push_back({from, settings_query{own.settings}, *renew});
        }
    }
    return result;
}

group_messages feed_distributor::on(instance_id from, const endpoint_query& msg, time_point now)
{
    group_messages result;
    if (catalog_.revision() <= msg.known_revision)
    {
        return result;
    }
    const std::lock_guard lock{mutex_};
    if (catalog_.size() > max_update_rows)
    {
        lists_.request(from, msg.known_revision, now);
        send_due_lists(result, now);
        return result;
    }
    for (auto& it : catalog_.updates_since(msg.known_revision, now))
    {
        result.push_back({{from}, std::move(it)});
    }
    return result;
}

void feed_distributor::send_due_lists(group_messages& out, time_point now)
{
    for (const auto& round : lists_.take_round(now))
    {
        for (auto& it : catalog_.updates_since(round.known_revision, now))
        {
            out.push_back({round.to, std::move(it)});
        }
    }
}

outgoing_messages feed_distributor::on(instance_id from, const endpoint_update& msg, time_point now)
{
    if (catalog_.on_update(msg, now))
    {
        return {};
    }
    const std::lock_guard lock{mutex_};
    const auto known_version = catalog_.revision();
    const auto renew =
        next_query(endpoints_query_, from, known_version, endpoint_query_interval, now);
    return renew ? outgoing_messages{{from, endpoint_query{known_version}, *renew}}
                 : outgoing_messages{};
}

group_messages feed_distributor::tick(time_point now)
{
    const bool reader = election_.should_read(*state_.view(), now);
    const auto own = own_state(now);
    group_messages result;
    const std::lock_guard lock{mutex_};
    send_due_lists(result, now);
    send_state(own, reader, result, now);
    return result;
}

void feed_distributor::send_state(const feed_state& own,
                                  bool reader,
                                  group_messages& out,
                                  time_point now)
{
    const bool first = reader && !std::exchange(was_reader_, reader);
    if (!reader)
    {
        return;
    }
    if (first)
    {
        // Instances that lag request the whole list when they receive its revision.
        sent_revision_ = own.endpoints_revision;
    }
    const bool fresh = milliseconds{own.age_ms} <= reader_election::max_fresh_age;
    const bool changed = own.endpoints_revision > sent_revision_ ||
                         own.settings.version != sent_version_ || fresh != sent_fresh_;
    if (!changed && now < sent_at_ + reader_election::feed_state_period)
    {
        return;
    }
    const auto to = election_.recipients(*state_.view());
    if (own.endpoints_revision > sent_revision_)
    {
        for (auto& it : catalog_.updates_since(sent_revision_, now))
        {
            out.push_back({to, std::move(it)});
        }
    }
    out.push_back({to, own});
    sent_revision_ = own.endpoints_revision;
    sent_version_ = own.settings.version;
    sent_fresh_ = fresh;
    sent_at_ = now;
}

} // namespace mangovane
