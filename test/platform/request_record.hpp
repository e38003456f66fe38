// What callers and endpoints of the tests have seen of requests.
#ifndef MANGOVANE_TEST_PLATFORM_REQUEST_RECORD_HPP
#define MANGOVANE_TEST_PLATFORM_REQUEST_RECORD_HPP

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "mangovane/core/time.hpp"
#include "platform/router_fleet.hpp"

namespace mangovane::test
{

/// What a caller has seen of a request.
struct request_fate
{
    std::string id;
    std::string route;
    std::size_t router{0};
    time_point sent_at{}; ///< Of its last byte; zero if it was not sent whole.
    time_point ended_at{};
    unsigned status{0};
    bool complete{false};
    std::string body;
    std::string error;

    bool operator==(const request_fate&) const = default;
};

/// Executions of one request at all endpoints.
struct run_summary
{
    int count{0};
    time_point first_started_at{};

    auto operator<=>(const run_summary&) const = default;
};

/// Executions of each request; filled by the endpoints of a test.
class run_record
{
public:
    void add(const std::string& id);
    [[nodiscard]] run_summary summary(const std::string& id) const;
    [[nodiscard]] int count(const std::string& id) const { return summary(id).count; }

private:
    mutable std::mutex mutex_;
    std::map<std::string, run_summary> runs_; ///< Guarded by `mutex_`.
};

/// Lines of the router's log that name the request.
[[nodiscard]] std::string log_lines(const router_fleet& fleet, const request_fate& fate);

/// What is known of a request, for the message of a failed check.
[[nodiscard]] std::string describe(const router_fleet& fleet, const request_fate& fate, int runs);

} // namespace mangovane::test

#endif
