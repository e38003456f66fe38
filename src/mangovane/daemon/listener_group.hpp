// The listening addresses of a process, which are opened when it starts. An address that is still
// held, for example by a closed outgoing connection, is tried again.
#ifndef MANGOVANE_DAEMON_LISTENER_GROUP_HPP
#define MANGOVANE_DAEMON_LISTENER_GROUP_HPP

#include <functional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// One address that a process listens on.
struct listener
{
    std::string name;                   ///< In log lines.
    std::string address;                ///< ip:port
    std::function<absl::Status()> open; ///< Unavailable: a later attempt may succeed.
    bool required{true};                ///< Callers cannot be served without it.
};

/// `open` is called before the context runs; the state is then confined to one strand.
class listener_group
{
public:
    using logger = std::function<void(const std::string& line)>;
    using open_handler = std::function<void()>;
    using failure_handler = std::function<void(const absl::Status&)>;

    /// The group ends before the context.
    listener_group(boost::asio::io_context& io, logger log);

    /// A listener without an address is left out.
    void add(listener it);

    /// Opens all listeners, and tries those again whose address is not available. Calls `on_open`
    /// once when all that are required are open, or `on_failure` when one of these cannot be
    /// opened.
    void open(open_handler on_open, failure_handler on_failure);

    /// Ends all attempts. May be called from any thread.
    void stop();

    static constexpr milliseconds retry_period{100};

    /// Time after which a required listener has failed. Longer than the 60 s for which the kernel
    /// holds the port of a closed connection.
    static constexpr seconds give_up_after{90};

private:
    struct pending_listener
    {
        listener it;
        time_point next_log_at{};
    };

    void try_all();
    void end();
    /// Whether the listener needs no further attempt.
    [[nodiscard]] bool try_one(pending_listener& entry, time_point now);
    void schedule_retry();
    [[nodiscard]] bool is_required_pending() const;

    boost::asio::steady_timer timer_;
    logger log_;
    open_handler on_open_; ///< Null after it was called, and after the end.
    failure_handler on_failure_;
    std::vector<pending_listener> pending_; ///< Those that are not open yet.
    absl::Status failure_;                  ///< Of a required listener, for good.
    time_point give_up_at_{};
};

} // namespace mangovane

#endif
