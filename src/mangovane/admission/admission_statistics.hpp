// Counts of what admission has decided, for metrics.
#ifndef MANGOVANE_ADMISSION_ADMISSION_STATISTICS_HPP
#define MANGOVANE_ADMISSION_ADMISSION_STATISTICS_HPP

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

#include "mangovane/admission/admission_request.hpp"
#include "mangovane/observe/latency_histogram.hpp"

namespace mangovane
{

/// Thread-safe. Requests that are sent at once are not counted.
class admission_statistics
{
public:
    void on_wait();
    /// A wait has ended, with whatever result.
    void on_wait_end(milliseconds waited);
    void on_refusal(admission_reason reason);

    /// Samples in the Prometheus text format; `waiting` is the number of requests that wait now.
    [[nodiscard]] std::string text(std::size_t waiting) const;

private:
    mutable std::mutex mutex_;
    std::uint64_t waits_{0};                                       ///< Guarded by `mutex_`.
    std::array<std::uint64_t, admission_reason_count> refusals_{}; ///< Guarded by `mutex_`.
    latency_histogram wait_times_;                                 ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
