// Deadline of an operation on a socket.
#ifndef MANGOVANE_NET_SOCKET_DEADLINE_HPP
#define MANGOVANE_NET_SOCKET_DEADLINE_HPP

#include <cstdint>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Time for which an expiry is put off when what the operation waits for has arrived.
inline constexpr milliseconds arrival_grace{100};

/// Limit on the number of times that one expiry is put off.
inline constexpr int max_put_offs = 5;

/// When a process was paused or waited for a core, its timers expire before it has read what
/// arrived in the meantime. An expiry therefore checks first whether what the operation waits for
/// has arrived; if so, it is put off, so that the operation can complete. It is put off again only
/// if it was late again. All functions are called on the executor, which must be a strand.
class socket_deadline
{
public:
    explicit socket_deadline(const boost::asio::any_io_executor& executor) : timer_{executor} {}

    /// Calls `on_expired` at `at` unless `start` or `stop` is called before. `has_arrived` tells
    /// whether the operation can go on; it is called when the timer expires. Both must keep the
    /// owner of this object alive.
    template <class Arrived, class Expired>
    void start(time_point at, Arrived has_arrived, Expired on_expired)
    {
        wait(at, std::move(has_arrived), std::move(on_expired), 0);
    }

    /// After the call `on_expired` is not called.
    void stop()
    {
        ++generation_;
        timer_.cancel();
    }

private:
    template <class Arrived, class Expired>
    void wait(time_point at, Arrived has_arrived, Expired on_expired, int put_offs)
    {
        timer_.expires_at(at);
        timer_.async_wait(
            [this, at, put_offs, generation = ++generation_, has_arrived = std::move(has_arrived),
             on_expired = std::move(on_expired)](boost::system::error_code ec) mutable
            {
                if (ec || generation != generation_)
                {
                    return;
                }
                const auto now = clock::now();
                const bool late = now >= at + arrival_grace / 2;
                if (put_offs < max_put_offs && (put_offs == 0 || late) && has_arrived())
                {
                    wait(now + arrival_grace, std::move(has_arrived), std::move(on_expired),
                         put_offs + 1);
                    return;
                }
                on_expired();
            });
    }

    boost::asio::steady_timer timer_;
    std::uint64_t generation_{0}; ///< Of the running timer; expiries of older ones are ignored.
};

} // namespace mangovane

#endif
