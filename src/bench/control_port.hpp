// Simulated caller and endpoint: completes each attempt after a fixed time.
#ifndef MANGOVANE_BENCH_CONTROL_PORT_HPP
#define MANGOVANE_BENCH_CONTROL_PORT_HPP

#include <cstdint>
#include <functional>
#include <memory>

#include <absl/container/flat_hash_map.h>

#include "bench/control_fleet.hpp"

namespace mangovane::bench
{

/// State that a port uses. The references must outlive the port; it owns the scheduler function.
struct port_context
{
    coordinator& core;
    const time_point& now;
    absl::flat_hash_map<endpoint_id, std::uint32_t>& in_flight; ///< By endpoint.
    control_outcome& outcome;
    duration response_time;
    std::function<void(duration in, std::function<void()> task)> schedule;
};

class control_port final : public request_callbacks,
                           public std::enable_shared_from_this<control_port>
{
public:
    explicit control_port(port_context context) : context_{std::move(context)} {}

    void set_number(std::uint64_t number) { number_ = number; }

    void send(const send_attempt& action) override;
    void abort(const abort_attempt&) override {}
    void claim(const claim_key&) override {}
    void settle(const settle_claim&) override {}
    void answer(const answer_error&) override;
    void answer(const answer_stored&) override {}
    void end(const end_request&) override;
    void wake(const wake_at& action) override;

private:
    void on_first_byte(attempt_id attempt);
    void on_end(const send_attempt& action);

    port_context context_;
    std::uint64_t number_{0};
    std::uint64_t last_wake_{0}; ///< Number of the newest wake; older ones are ignored.
    bool closed_{false};
};

} // namespace mangovane::bench

#endif
