// Makes the timers of a context expire late, as in a process that was paused or waits for a core.
#ifndef MANGOVANE_TEST_NET_PAUSED_CONTEXT_HPP
#define MANGOVANE_TEST_NET_PAUSED_CONTEXT_HPP

#include <future>
#include <memory>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

/// Stops the only thread of a context after the reactor has returned the timers that expire before
/// `until`, and before their handlers run. What arrives during the pause is unread when they do.
class paused_context
{
public:
    /// Returns once the thread has stopped. Called on another thread.
    paused_context(boost::asio::io_context& io, time_point until)
    {
        boost::asio::post(io,
                          [this, &io, until]
                          {
                              hold_at_next_expiry(io);
                              std::this_thread::sleep_until(until);
                          });
        stopped_.get_future().wait();
    }
    ~paused_context() { resumed_.set_value(); }
    paused_context(const paused_context&) = delete;
    paused_context& operator=(const paused_context&) = delete;

private:
    /// Timers run in the order of their expiry, so this one runs before those that expire later.
    void hold_at_next_expiry(boost::asio::io_context& io)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(io, clock::now());
        timer->async_wait(
            [this, timer, resumed = resumed_.get_future().share()](boost::system::error_code)
            {
                stopped_.set_value();
                resumed.wait();
            });
    }

    std::promise<void> stopped_;
    std::promise<void> resumed_;
};

} // namespace mangovane::test

#endif
