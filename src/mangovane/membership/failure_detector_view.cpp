// Implementation of the failure detector: views.
#include "mangovane/membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace mangovane::internal
{

bool failure_detector::in_view(const peer_record& record) const
{
    return record.live() || record.subject().id == self_id_;
}

bool failure_detector::view_is_current(time_point now) const
{
    const auto& entries = view_->members();
    std::size_t n = 0;
    for (const auto& [id, it] : records_)
    {
        if (!in_view(it))
        {
            continue;
        }
        if (n == entries.size() || !it.matches(entries[n], now))
        {
            return false;
        }
        ++n;
    }
    return n == entries.size();
}

bool failure_detector::check_view(time_point now)
{
    if (!records_changed_ && now < next_change_)
    {
        return true;
    }
    records_changed_ = false;
    next_change_ = time_point::max();
    for (const auto& [id, it] : records_)
    {
        next_change_ = std::min(next_change_, it.next_change(now));
    }
    return view_is_current(now);
}

void failure_detector::refresh_view(time_point now, bool extend)
{
    const bool current = check_view(now);
    if (current && !extend)
    {
        return;
    }
    const auto valid_until = extend ? now + timing_.view_validity : view_->valid_until();
    if (current && !stamps_changed_)
    {
        view_ = std::make_shared<membership_view>(view_->with_validity(valid_until));
        return;
    }
    stamps_changed_ = false;
    view_ = std::make_shared<membership_view>(view_->version() + (current ? 0 : 1), valid_until,
                                              view_members(now));
}

std::vector<member> failure_detector::view_members(time_point now) const
{
    std::vector<member> result;
    result.reserve(records_.size());
    for (const auto& [id, it] : records_)
    {
        if (in_view(it))
        {
            result.push_back(it.to_member(now));
        }
    }
    return result;
}

} // namespace mangovane::internal
