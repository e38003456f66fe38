// Implementation of the reuse meter.
#include "bench/reuse_meter.hpp"

#include <algorithm>

namespace mangovane::bench
{

void reuse_meter::on_reuse(std::uint32_t found, std::uint32_t cached)
{
    found_ += found;
    cached_ += cached;
}

void reuse_meter::on_load(std::uint32_t in_flight, const service_load& load)
{
    const auto mean = static_cast<double>(load.total_in_flight) / load.ready_endpoints;
    largest_load_ = std::max(largest_load_, in_flight / mean);
}

void reuse_meter::on_wait(duration wait)
{
    waits_ms_.push_back(std::chrono::duration<float, std::milli>{wait}.count());
}

reuse_result reuse_meter::result() const
{
    reuse_result result;
    result.requests = waits_ms_.size() + refused_;
    result.refused = refused_;
    result.largest_load = largest_load_;
    result.reuse_ratio =
        cached_ == 0 ? 1 : static_cast<double>(found_) / static_cast<double>(cached_);
    if (!waits_ms_.empty())
    {
        auto waits = waits_ms_;
        const auto at = static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
        std::nth_element(waits.begin(), waits.begin() + at, waits.end());
        result.wait_p99_ms = waits[static_cast<std::size_t>(at)];
    }
    return result;
}

} // namespace mangovane::bench
