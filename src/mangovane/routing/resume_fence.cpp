// Implementation of the resume fence.
#include "mangovane/routing/resume_fence.hpp"

namespace mangovane
{

void resume_fence::on_tick(time_point now)
{
    const std::lock_guard lock{mutex_};
    if (ticked_at_ != time_point::min() && now > ticked_at_ + longest_gap)
    {
        resumed_at_ = now;
        closed_until_ = now + alone_after;
    }
    ticked_at_ = now;
}

void resume_fence::on_remote_answer()
{
    const std::lock_guard lock{mutex_};
    closed_until_ = time_point::min();
}

bool resume_fence::closed(time_point now) const
{
    const std::lock_guard lock{mutex_};
    const bool paused = ticked_at_ != time_point::min() && now > ticked_at_ + longest_gap;
    return paused || now < closed_until_;
}

time_point resume_fence::resumed_at() const
{
    const std::lock_guard lock{mutex_};
    return resumed_at_;
}

} // namespace mangovane
