// Reports the tasks of an I/O context that an exception has ended.
#ifndef MANGOVANE_NET_TASK_MONITOR_HPP
#define MANGOVANE_NET_TASK_MONITOR_HPP

#include <atomic>
#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

#include <boost/asio/execution_context.hpp>

namespace mangovane
{

/// Service of an `io_context`, so that every coroutine can be started with a report of its failure
/// (`spawn`) and no constructor has to pass a handler on.
class task_monitor final : public boost::asio::execution_context::service
{
public:
    using key_type = task_monitor;

    /// Called with the name of the task and the text of the exception, from any thread.
    using failure_handler = std::function<void(std::string_view task, std::string_view reason)>;

    explicit task_monitor(boost::asio::execution_context& context)
        : boost::asio::execution_context::service{context}
    {}

    /// Sets the handler. Call before the first task starts.
    void on_failure(failure_handler handler) { handler_ = std::move(handler); }

    /// Counts the failure and passes it to the handler. Thread-safe.
    void report(std::string_view task, const std::exception_ptr& error);

    /// Number of tasks that an exception has ended.
    [[nodiscard]] std::uint64_t failures() const noexcept { return failures_; }

    static inline boost::asio::execution_context::id id;

private:
    void shutdown() override { handler_ = nullptr; }

    failure_handler handler_; ///< Does not change once tasks run.
    std::atomic<std::uint64_t> failures_{0};
};

/// Monitor of the context; it lives as long as the context.
[[nodiscard]] task_monitor& task_monitor_of(boost::asio::execution_context& context);

} // namespace mangovane

#endif
