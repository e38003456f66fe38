// Starts coroutines whose failure is reported to the task monitor of their context.
#ifndef MANGOVANE_NET_SPAWN_HPP
#define MANGOVANE_NET_SPAWN_HPP

#include <exception>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/execution/context.hpp>
#include <boost/asio/query.hpp>

#include "mangovane/net/task_monitor.hpp"

namespace mangovane
{

/// Monitor of the context in which the executor runs.
template <class Executor>
[[nodiscard]] task_monitor& monitor_of(const Executor& executor)
{
    return task_monitor_of(boost::asio::query(executor, boost::asio::execution::context));
}

/// Runs `work` on the executor and then calls `done` with whether an exception has ended it.
/// `task` names the kind of work in the log; it must be a string literal.
template <class Executor, class Done>
void spawn(const Executor& executor,
           std::string_view task,
           boost::asio::awaitable<void> work,
           Done done)
{
    boost::asio::co_spawn(
        executor, std::move(work),
        [&monitor = monitor_of(executor), task, done = std::move(done)](std::exception_ptr error)
        {
            if (error)
            {
                monitor.report(task, error);
            }
            done(error != nullptr);
        });
}

/// The same for work whose end nobody waits for.
template <class Executor>
void spawn(const Executor& executor, std::string_view task, boost::asio::awaitable<void> work)
{
    spawn(executor, task, std::move(work), [](bool) {});
}

} // namespace mangovane

#endif
