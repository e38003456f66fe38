// CPU time and heap size of this process.
#ifndef MANGOVANE_BENCH_PROCESS_COST_HPP
#define MANGOVANE_BENCH_PROCESS_COST_HPP

#include <cstdint>
#include <ctime>

#include <malloc.h>

namespace mangovane::bench
{

[[nodiscard]] inline double process_cpu_us()
{
    timespec at{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) * 1e6 + static_cast<double>(at.tv_nsec) / 1e3;
}

/// Mean CPU time of `work(n)` for n in [0, count).
template <class Work>
[[nodiscard]] double mean_cpu_us(std::uint64_t count, Work work)
{
    const auto start = process_cpu_us();
    for (std::uint64_t n = 0; n != count; ++n)
    {
        work(n);
    }
    return (process_cpu_us() - start) / static_cast<double>(count);
}

[[nodiscard]] inline double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace mangovane::bench

#endif
