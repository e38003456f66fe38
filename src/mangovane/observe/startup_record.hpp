// Record of the first seconds of a process: when it reached each step towards serving, and how many
// requests it served and did not serve in each second.
#ifndef MANGOVANE_OBSERVE_STARTUP_RECORD_HPP
#define MANGOVANE_OBSERVE_STARTUP_RECORD_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Steps from the start of a process to its first response.
enum class startup_step : std::uint8_t
{
    listening,         ///< All addresses that serving needs are open.
    store_answered,    ///< The first answer of the platform's store.
    peer_heard,        ///< The first message of another instance.
    settings_in_force, ///< From the store or from another instance.
    endpoints_listed,  ///< From the store or from another instance.
    ready,             ///< The readiness probe succeeds.
    request_ended,     ///< The first request was answered or refused.
    request_served,    ///< The first request was served.
};

inline constexpr std::size_t startup_step_count = 8;

/// Names in log lines, by step.
inline constexpr std::array<std::string_view, startup_step_count> startup_step_names{
    "listening",        "store_answered", "peer_heard",    "settings_in_force",
    "endpoints_listed", "ready",          "request_ended", "request_served"};

/// Requests that ended in one period.
struct startup_counts
{
    std::uint32_t served{0};
    std::map<std::string, std::uint32_t> unserved{}; ///< By outcome.

    [[nodiscard]] std::uint32_t unserved_total() const;

    auto operator<=>(const startup_counts&) const = default;
};

/// Thread-safe.
class startup_record
{
public:
    explicit startup_record(time_point started_at);

    /// Records a step, also after the end of the record. Returns its log line if it is the first
    /// time. Takes no lock, as it is called for each request.
    [[nodiscard]] std::optional<std::string> reach(startup_step step, time_point now);

    /// Counts a request that has ended. Takes no lock after the end of the record.
    void count(std::string_view outcome, time_point now);

    /// Log lines of the seconds that are over, and at the end of the record its summary.
    [[nodiscard]] std::vector<std::string> take_lines(time_point now);

    /// Time after the start that the record covers.
    static constexpr seconds length{20};

private:
    [[nodiscard]] std::string second_line(const startup_counts& counts) const;
    [[nodiscard]] std::string summary_line() const;
    [[nodiscard]] milliseconds since_start(time_point now) const;

    static constexpr std::int64_t not_reached = -1;

    const time_point started_at_;
    std::mutex mutex_;
    /// Time from the start to each step, in ms; `not_reached` before it.
    std::array<std::atomic<std::int64_t>, startup_step_count> reached_ms_;
    std::array<startup_counts, length.count()> seconds_{}; ///< Guarded by `mutex_`.
    std::size_t taken_{0};              ///< Seconds whose lines were taken. Guarded by `mutex_`.
    std::atomic<bool> complete_{false}; ///< Set under `mutex_`, after which `seconds_` is constant.
};

} // namespace mangovane

#endif
