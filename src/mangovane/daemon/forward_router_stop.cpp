// Shutdown of the forwarding router daemon.
#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovane/daemon/forward_router_state.hpp"

namespace mangovane
{

namespace
{

/// Period in which a stop asks whether all sessions have ended.
constexpr milliseconds session_poll_period{100};

/// Part of the grace period that is reserved for the answers of requests that were cut, the last
/// messages and the exit of the process.
constexpr milliseconds stop_margin{250};
static_assert(cut_answer_time + session_poll_period <= stop_margin);

/// Period in which a stop checks whether the sessions that it has cut have ended.
constexpr milliseconds cut_poll_period{20};

} // namespace

void forward_router::state::await_stop()
{
    stop_signals.async_wait(
        [this](boost::system::error_code ec, int)
        {
            if (!ec)
            {
                begin_shutdown();
            }
        });
}

void forward_router::state::await_reload()
{
    reload_signals.async_wait(
        [this](boost::system::error_code ec, int)
        {
            if (!ec)
            {
                // Flags and environment variables are read only at the start of the process.
                log.write("event=reload effect=none", clock::now());
                await_reload();
            }
        });
}

void forward_router::state::begin_shutdown()
{
    const auto now = clock::now();
    listeners.stop();
    if (!started)
    {
        exit();
        return;
    }
    const auto schedule =
        make_stop_schedule(now, options.drain_delay, options.grace_period - stop_margin);
    services.stop.begin(schedule);
    ready = false;
    log.write(absl::StrCat("event=stopping sessions=", server.open_sessions(),
                           " accept_ms=", remaining_ms(schedule.accept_until, now),
                           " cut_ms=", remaining_ms(schedule.cut_at, now)),
              now);
    at(schedule.accept_until, &state::refuse_connections);
}

void forward_router::state::at(time_point when, void (state::*next)())
{
    stop_timer.expires_at(when);
    stop_timer.async_wait(
        [this, next](boost::system::error_code ec)
        {
            if (!ec)
            {
                (this->*next)();
            }
        });
}

void forward_router::state::refuse_connections()
{
    server.drain();
    await_last_session();
}

void forward_router::state::await_last_session()
{
    const auto now = clock::now();
    const auto cut_at = services.stop.schedule()->cut_at;
    if (server.drained())
    {
        stop();
    }
    else if (now >= cut_at)
    {
        cut_sessions();
    }
    else
    {
        at(std::min(now + session_poll_period, cut_at), &state::await_last_session);
    }
}

void forward_router::state::cut_sessions()
{
    server.cut();
    exit_at = clock::now() + cut_answer_time;
    await_cut_sessions();
}

void forward_router::state::await_cut_sessions()
{
    const auto now = clock::now();
    if (server.drained() || now >= exit_at)
    {
        stop();
        return;
    }
    at(now + cut_poll_period, &state::await_cut_sessions);
}

void forward_router::state::stop()
{
    core.leave(clock::now());
    source->stop();
    at(clock::now() + session_poll_period, &state::exit);
}

void forward_router::state::exit()
{
    const auto now = clock::now();
    const auto summary = services.stop.summary();
    log.write_essential(absl::StrCat("event=stopped sessions=", server.open_sessions(),
                                     " refused=", summary.refused, " cut=", summary.cut),
                        now);
    log.flush(now);
    io.stop();
}

} // namespace mangovane
