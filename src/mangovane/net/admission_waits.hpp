// Sessions whose requests wait for admission, and the timer that ends their waits.
#ifndef MANGOVANE_NET_ADMISSION_WAITS_HPP
#define MANGOVANE_NET_ADMISSION_WAITS_HPP

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/admission/admission_request.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

class forward_core;

/// The wait of a session. All members are used on the session's strand only.
struct admission_wait
{
    explicit admission_wait(const boost::asio::any_io_executor& executor) : timer{executor} {}

    boost::asio::steady_timer timer;            ///< Cancelled when the wait ends.
    std::optional<admission_decision> decision; ///< Empty: none yet.
};

/// Thread-safe. The timer runs only while requests wait.
class admission_waits
{
public:
    /// Both outlive this object and all operations on the context.
    admission_waits(boost::asio::io_context& io, forward_core& core);

    /// Passes the outcome for the ticket to the wait when there is one.
    void add(std::uint64_t ticket, std::shared_ptr<admission_wait> wait);

    /// The wait has ended.
    void remove(std::uint64_t ticket);

    /// A request waits at most this long after its outcome is known.
    static constexpr milliseconds release_period{10};

private:
    struct early_outcome
    {
        admission_decision decision;
        time_point at;
    };

    /// An outcome that no session has asked for by then is of a session whose wait ended at the
    /// same moment.
    static constexpr seconds early_ttl{1};

    void start_timer();
    void on_timer();
    void deliver(std::uint64_t ticket, const admission_decision& decision, time_point now);
    static void end(const std::shared_ptr<admission_wait>& wait,
                    const admission_decision& decision);

    forward_core& core_;
    boost::asio::steady_timer timer_; ///< On a strand of its own.
    std::mutex mutex_;
    bool running_{false}; ///< Whether the timer runs. Guarded by `mutex_`.
    /// By ticket. Guarded by `mutex_`.
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<admission_wait>> waits_;
    /// Outcomes of requests whose sessions have not called `add` yet. Guarded by `mutex_`.
    absl::flat_hash_map<std::uint64_t, early_outcome> early_;
};

} // namespace mangovane

#endif
