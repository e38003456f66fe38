// A service with a few slots behind one admission queue, under a load of several kinds of callers.
// Time advances in steps of one millisecond; nothing waits.
#ifndef MANGOVANE_TEST_ADMISSION_LOADED_SERVICE_HPP
#define MANGOVANE_TEST_ADMISSION_LOADED_SERVICE_HPP

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "mangovane/admission/admission_queue.hpp"

namespace mangovane::test
{

/// Callers of one kind.
struct caller_kind
{
    account_id account;
    std::uint8_t urgency{5};
    double requests_per_s{0};
    milliseconds patience{300}; ///< From the arrival until the request has to start.
    int from{0};                ///< They send from this time on, in ms,
    int until{0};               ///< and no longer than this.
};

/// What the callers of one kind got.
struct kind_result
{
    std::uint32_t sent{0};
    std::uint32_t refused{0};
    std::uint32_t refused_late{0}; ///< After a wait.
    milliseconds longest_wait{0};
    std::uint32_t arrived{0};

    [[nodiscard]] double served() const
    {
        return arrived == 0 ? 1 : static_cast<double>(sent) / arrived;
    }
};

class loaded_service
{
public:
    explicit loaded_service(std::vector<caller_kind> kinds, admission_policy policy = {true})
        : kinds_{std::move(kinds)}, results_(kinds_.size()), queue_{policy, 1, start}
    {}

    static constexpr int slots = 18;
    static constexpr int work = 30;                           ///< ms.
    static constexpr double capacity = 1000.0 * slots / work; ///< Requests per second.
    static inline const time_point start{seconds{1000}};

    void play(int until)
    {
        for (; now_ms_ != until; ++now_ms_)
        {
            complete();
            arrive();
            settle(queue_.release(room(), now()));
        }
    }

    [[nodiscard]] const kind_result& result(std::size_t kind) const { return results_.at(kind); }
    [[nodiscard]] admission_queue& queue() { return queue_; }
    [[nodiscard]] int most_in_flight() const { return most_in_flight_; }
    [[nodiscard]] time_point now() const { return start + milliseconds{now_ms_}; }
    [[nodiscard]] admission_room room() const
    {
        return {slots, static_cast<double>(slots - in_flight_), completions_per_s(), 1};
    }

private:
    struct pending
    {
        std::size_t kind{0};
        time_point arrived_at;
        time_point start_by;
    };

    [[nodiscard]] double completions_per_s() const
    {
        return in_flight_ == 0 ? 0 : 1000.0 * in_flight_ / work;
    }

    void complete()
    {
        const auto done = ends_.find(now_ms_);
        in_flight_ -= done == ends_.end() ? 0 : done->second;
    }

    void arrive()
    {
        for (std::size_t n = 0; n != kinds_.size(); ++n)
        {
            const auto& it = kinds_[n];
            const bool active = now_ms_ >= it.from && now_ms_ < it.until;
            std::poisson_distribution<int> arrivals{active ? it.requests_per_s / 1000 : 1e-12};
            for (int left = arrivals(random_); left > 0; --left)
            {
                request(n);
            }
        }
    }

    void request(std::size_t kind)
    {
        const auto& it = kinds_[kind];
        const auto ticket = ++tickets_;
        ++results_[kind].arrived;
        const pending entry{kind, now(), now() + it.patience};
        const auto decision = queue_.admit(
            {ticket, it.account, it.urgency, false, 1000, 1, entry.arrived_at, entry.start_by},
            room(), now());
        if (decision.verdict == admission_verdict::wait)
        {
            pending_.emplace(ticket, entry);
        }
        else
        {
            finish(entry, decision);
        }
    }

    void settle(const std::vector<admission_outcome>& outcomes)
    {
        for (const auto& it : outcomes)
        {
            const auto found = pending_.find(it.ticket);
            finish(found->second, it.decision);
            pending_.erase(found);
        }
    }

    void finish(const pending& it, const admission_decision& decision)
    {
        auto& result = results_[it.kind];
        const auto waited = std::chrono::duration_cast<milliseconds>(now() - it.arrived_at);
        result.longest_wait = std::max(result.longest_wait, waited);
        if (decision.verdict != admission_verdict::send)
        {
            ++result.refused;
            result.refused_late += waited.count() == 0 ? 0 : 1;
            return;
        }
        ++result.sent;
        ++in_flight_;
        most_in_flight_ = std::max(most_in_flight_, in_flight_);
        ++ends_[now_ms_ + work];
    }

    std::vector<caller_kind> kinds_;
    std::vector<kind_result> results_;
    admission_queue queue_;
    std::mt19937 random_{20261206};
    std::map<std::uint64_t, pending> pending_; ///< By ticket.
    std::map<int, int> ends_;                  ///< Number of requests that end at a time.
    std::uint64_t tickets_{0};
    int in_flight_{0};
    int most_in_flight_{0};
    int now_ms_{0};
};

} // namespace mangovane::test

#endif
