// Implementation of the event log.
#include "mangovane/observe/event_log.hpp"

#include <algorithm>
#include <climits>

#include <absl/strings/str_cat.h>
#include <poll.h>
#include <unistd.h>

namespace mangovane
{

namespace
{

std::int64_t ms_of(auto time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace

std::size_t fd_log_output::write(std::string_view bytes)
{
    std::size_t written = 0;
    while (written != bytes.size())
    {
        pollfd ready{descriptor_, POLLOUT, 0};
        if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
        {
            break;
        }
        // A pipe that is ready accepts at least PIPE_BUF bytes without blocking.
        const auto n = std::min<std::size_t>(bytes.size() - written, PIPE_BUF);
        const auto done = ::write(descriptor_, bytes.data() + written, n);
        if (done <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(done);
    }
    return written;
}

event_log::event_log(log_output& output, log_limits limits, time_point now)
    : output_{output}, limits_{limits}, tokens_{limits.burst_lines}, refilled_at_{now},
      epoch_offset_ms_{ms_of(std::chrono::system_clock::now()) - ms_of(now)}
{}

bool event_log::take_token(time_point now)
{
    const auto passed = std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = std::max(refilled_at_, now);
    tokens_ = std::min(tokens_ + std::max(passed, 0.0) * limits_.lines_per_s, limits_.burst_lines);
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void event_log::append(std::string_view text, time_point now)
{
    absl::StrAppend(&buffer_, "time=", ms_of(now) + epoch_offset_ms_, " ",
                    absl::string_view{text.data(), text.size()}, "\n");
}

bool event_log::make_room(std::string_view text)
{
    if (buffer_.size() + text.size() > limits_.buffer_bytes)
    {
        buffer_.erase(0, output_.write(buffer_));
    }
    return buffer_.size() + text.size() <= limits_.buffer_bytes;
}

void event_log::write(std::string_view text, time_point now)
{
    const std::lock_guard lock{mutex_};
    if (!make_room(text) || !take_token(now))
    {
        ++dropped_;
        return;
    }
    append(text, now);
}

void event_log::write_essential(std::string_view text, time_point now)
{
    const std::lock_guard lock{mutex_};
    if (!make_room(text))
    {
        ++dropped_;
        return;
    }
    append(text, now);
}

void event_log::flush(time_point now)
{
    const std::lock_guard lock{mutex_};
    if (dropped_ != reported_drops_ && buffer_.size() < limits_.buffer_bytes)
    {
        append(absl::StrCat("event=log_dropped lines=", dropped_ - reported_drops_), now);
        reported_drops_ = dropped_;
    }
    if (!buffer_.empty())
    {
        buffer_.erase(0, output_.write(buffer_));
    }
}

std::uint64_t event_log::dropped() const
{
    const std::lock_guard lock{mutex_};
    return dropped_;
}

} // namespace mangovane
