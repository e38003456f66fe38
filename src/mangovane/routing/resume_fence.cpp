// Implementation of the resume fence.
#include "mangovane/routing/resume_fence.hpp"

namespace mangovane
{

void resume_fence::on_tick(time_point now)
{
    const std::lock_guard lock{mutex_};
    if (last_tick_ != time_point::min() && now > last_tick_ + max_tick_gap)
    {
        resumed_at_ = now;
        closed_until_ = now + reopen_after;
    }
    last_tick_ = now;
}

void resume_fence::on_remote_answer()
{
    const std::lock_guard lock{mutex_};
    closed_until_ = time_point::min();
}

bool resume_fence::closed(time_point now) const
{
    const std::lock_guard lock{mutex_};
    const bool paused = last_tick_ != time_point::min() && now > last_tick_ + max_tick_gap;
    return paused || now < closed_until_;
}

time_point resume_fence::resumed_at() const
{
    const std::lock_guard lock{mutex_};
    return resumed_at_;
}

} // namespace mangovane
