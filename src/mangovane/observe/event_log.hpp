// The log of decisions: one line each on standard output, in bounded volume. Writing never waits.
#ifndef MANGOVANE_OBSERVE_EVENT_LOG_HPP
#define MANGOVANE_OBSERVE_EVENT_LOG_HPP

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "mangovane/core/time.hpp"

namespace mangovane
{

struct log_limits
{
    double lines_per_s{400};         ///< Mean rate.
    double burst_lines{800};         ///< Lines at once.
    std::size_t buffer_bytes{32768}; ///< Kept while the reader is slow; more is dropped.

    auto operator<=>(const log_limits&) const = default;
};

/// Where lines go. `write` takes what fits without waiting and returns how much that was.
class log_output
{
public:
    virtual ~log_output() = default;
    [[nodiscard]] virtual std::size_t write(std::string_view bytes) = 0;
};

/// Writes to a file descriptor, a pipe or a file, only when it is ready.
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
    /// The output outlives the log.
    event_log(log_output& output, log_limits limits, time_point now);

    /// Adds a line `time=<Unix ms> <text>`; drops it when the volume is used up.
    void write(std::string_view text, time_point now);

    /// Hands lines to the output. Called a few times a second.
    void flush(time_point now);

    /// Lines that were dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void append(std::string_view text, time_point now);
    [[nodiscard]] bool take_line(time_point now);

    log_output& output_;
    const log_limits limits_;
    mutable std::mutex mutex_;
    std::string buffer_;           ///< At most `buffer_bytes`. Guarded by `mutex_`.
    double allowance_;             ///< Lines that may be written now. Guarded by `mutex_`.
    time_point counted_at_;        ///< Of `allowance_`. Guarded by `mutex_`.
    std::uint64_t dropped_{0};     ///< Guarded by `mutex_`.
    std::uint64_t reported_{0};    ///< Of `dropped_`, told in the log. Guarded by `mutex_`.
    std::int64_t epoch_offset_ms_; ///< From the steady clock to Unix time, at the start.
};

} // namespace mangovane

#endif
