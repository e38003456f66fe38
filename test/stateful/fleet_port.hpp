// The fake fleet's implementation of `request_callbacks` for one caller: executes the actions of
// one request and records its outcome.
#ifndef MANGOVANE_TEST_STATEFUL_FLEET_PORT_HPP
#define MANGOVANE_TEST_STATEFUL_FLEET_PORT_HPP

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "fleet.hpp"

namespace mangovane::test
{

class fleet_port final : public request_callbacks, public std::enable_shared_from_this<fleet_port>
{
public:
    fleet_port(fleet& target, fleet_node& node, std::uint64_t call)
        : fleet_{target}, node_{node}, call_{call}
    {}

    void set_number(std::uint64_t number) { number_ = number; }
    [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
    [[nodiscard]] bool closed() const noexcept { return closed_; }

    void run_timer(time_point now);

    /// Records the response that the caller gets if the request flow accepts this event.
    void on_attempt_ended(const attempt_ended& event);

    void send(const send_attempt& action) override;
    void abort(const abort_attempt& action) override;
    void claim(const claim_key& action) override;
    void settle(const settle_claim& action) override;
    void answer(const answer_error& action) override;
    void answer(const answer_stored& action) override;
    void end(const end_request& action) override;
    void wake(const wake_at& action) override;

private:
    void enqueue_task(std::function<void()> task);
    void finish(call_outcome end);

    fleet& fleet_;
    fleet_node& node_;
    std::uint64_t call_;
    std::uint64_t number_{0};
    std::optional<time_point> wake_at_;
    std::uint64_t last_wake_{0}; ///< Number of the wake that set `wake_at_`.
    std::uint64_t response_of_{0};
    bool closed_{false};
};

} // namespace mangovane::test

#endif
