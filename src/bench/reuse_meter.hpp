// Collects the results of a run of the reuse measurement.
#ifndef MANGOVANE_BENCH_REUSE_METER_HPP
#define MANGOVANE_BENCH_REUSE_METER_HPP

#include <cstdint>
#include <vector>

#include "bench/reuse_scenario.hpp"

namespace mangovane::bench
{

class reuse_meter
{
public:
    void on_reuse(std::uint32_t found, std::uint32_t cached);
    void on_load(std::uint32_t in_flight, const service_load& load);
    void on_wait(duration wait);
    void on_refused() { ++refused_; }

    [[nodiscard]] reuse_result result() const;

private:
    std::uint64_t found_{0};
    std::uint64_t cached_{0};
    std::uint64_t refused_{0};
    double largest_load_{0};
    std::vector<float> waits_ms_; ///< One for each dispatched request.
};

} // namespace mangovane::bench

#endif
