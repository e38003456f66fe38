// Waiting in coroutines of test callers, and how late they notice events.
#ifndef MANGOVANE_TEST_PLATFORM_CALLER_TIMING_HPP
#define MANGOVANE_TEST_PLATFORM_CALLER_TIMING_HPP

#include <algorithm>
#include <atomic>
#include <chrono>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

/// A connection that ends sooner after the last byte of a request may have crossed it.
inline constexpr milliseconds crossing_slack{200};

inline boost::asio::awaitable<void> sleep_until(time_point at)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer{executor, at};
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/// Measures how late this process notices an event, which is not the routers' delay.
class lag_meter
{
public:
    /// Ends after `stop`.
    boost::asio::awaitable<void> run()
    {
        constexpr milliseconds period{10};
        while (!stopping_)
        {
            const auto due = clock::now() + period;
            co_await sleep_until(due);
            max_lag_ =
                std::max(max_lag_, std::chrono::duration_cast<milliseconds>(clock::now() - due));
        }
    }
    void stop() { stopping_ = true; }

    /// Complete after `run` has ended.
    [[nodiscard]] milliseconds max_lag() const { return max_lag_; }

private:
    std::atomic<bool> stopping_{false};
    milliseconds max_lag_{0};
};

} // namespace mangovane::test

#endif
