// Callers that play a plan of requests around a stop, all in one thread.
#ifndef MANGOVANE_TEST_PLATFORM_STOP_CALLERS_HPP
#define MANGOVANE_TEST_PLATFORM_STOP_CALLERS_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "platform/caller_timing.hpp"
#include "platform/request_record.hpp"
#include "platform/router_fleet.hpp"
#include "platform/stop_plan.hpp"

namespace mangovane::test
{

/// What a caller has seen of the requests on its connection.
struct connection_fate
{
    request_fate earlier; ///< Not sent if the plan has none.
    request_fate request;
    bool can_answer{true}; ///< False if the earlier answer ended the connection.

    bool operator==(const connection_fate&) const = default;
};

class stop_callers
{
public:
    /// Times of the plan are relative to `stop_at`. Calls that have not ended at `give_up_at` are
    /// left incomplete.
    stop_callers(const router_fleet& fleet,
                 const std::vector<planned_connection>& plan,
                 time_point stop_at,
                 time_point give_up_at);
    stop_callers(const stop_callers&) = delete;
    stop_callers& operator=(const stop_callers&) = delete;
    ~stop_callers() { finish(); }

    /// Waits until all calls have ended.
    void finish();

    /// Both are complete after `finish`; the fates are in the order of the plan.
    [[nodiscard]] const std::vector<connection_fate>& fates() const { return fates_; }
    [[nodiscard]] milliseconds max_lag() const { return lag_.max_lag(); }

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;

    boost::asio::awaitable<void> call(std::size_t n);
    boost::asio::awaitable<void> call_fresh(connection_ptr it);
    boost::asio::awaitable<void> call_kept(connection_ptr it);
    boost::asio::awaitable<void> call_pipelined(connection_ptr it);
    boost::asio::awaitable<void> call_half_read(connection_ptr it);

    boost::asio::awaitable<void> send_request(connection_ptr it, std::string text);
    boost::asio::awaitable<bool> finish_earlier(connection_ptr it);
    [[nodiscard]] time_point time_of(milliseconds planned) const { return stop_at_ + planned; }

    const router_fleet& fleet_;
    const std::vector<planned_connection>& plan_;
    const time_point stop_at_;
    const time_point give_up_at_;
    std::vector<connection_fate> fates_;
    std::size_t open_calls_{0};
    lag_meter lag_;
    boost::asio::io_context io_{1};
    std::thread thread_;
};

} // namespace mangovane::test

#endif
