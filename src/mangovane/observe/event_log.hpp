// Event log with one line per event, rate-limited and buffered. Writing never blocks.
#ifndef MANGOVANE_OBSERVE_EVENT_LOG_HPP
#define MANGOVANE_OBSERVE_EVENT_LOG_HPP

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Limits on the volume of the log.
struct log_limits
{
    double lines_per_s{400};         ///< Mean rate; more lines are dropped.
    double burst_lines{800};         ///< Lines that may exceed the mean rate in a burst.
    std::size_t buffer_bytes{32768}; ///< Buffered while the reader is slow; more is dropped.

    auto operator<=>(const log_limits&) const = default;
};

/// Destination of the log. `write` accepts as many bytes as possible without blocking and returns
/// their number.
class log_output
{
public:
    virtual ~log_output() = default;
    [[nodiscard]] virtual std::size_t write(std::string_view bytes) = 0;
};

/// Writes to a file descriptor, such as a pipe or a file, only while it is ready. Does not close
/// it.
class fd_log_output final : public log_output
{
public:
    explicit fd_log_output(int descriptor) : descriptor_{descriptor} {}
    [[nodiscard]] std::size_t write(std::string_view bytes) override;

private:
    const int descriptor_;
};

class event_log
{
public:
    /// The output must outlive the log.
    event_log(log_output& output, log_limits limits, time_point now);

    /// Appends a line `time=<Unix ms> <text>`; drops it when a limit is reached. A full buffer is
    /// offered to the output first.
    void write(std::string_view text, time_point now);

    /// Appends a line that the limit on the rate does not apply to, such as the last of a process.
    void write_essential(std::string_view text, time_point now);

    /// Writes buffered lines to the output, and reports newly dropped lines. Call a few times per
    /// second.
    void flush(time_point now);

    /// Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void append(std::string_view text, time_point now);
    /// Whether the buffer has room for the text, if need be after a write to the output.
    [[nodiscard]] bool make_room(std::string_view text);
    [[nodiscard]] bool take_token(time_point now);

    log_output& output_;
    const log_limits limits_;
    mutable std::mutex mutex_;
    std::string buffer_;       ///< At most `buffer_bytes`. Guarded by `mutex_`.
    double tokens_;            ///< Token bucket, in lines. Guarded by `mutex_`.
    time_point refilled_at_;   ///< Last refill of `tokens_`. Guarded by `mutex_`.
    std::uint64_t dropped_{0}; ///< Guarded by `mutex_`.
    /// Part of `dropped_` already reported in the log. Guarded by `mutex_`.
    std::uint64_t reported_drops_{0};
    /// Offset from the steady clock to Unix time, taken at the start.
    std::int64_t epoch_offset_ms_;
};

} // namespace mangovane

#endif
