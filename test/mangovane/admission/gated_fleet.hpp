// Instances with a gate each in front of one service, which know each other's requests only from
// digests. Time advances in steps of one millisecond; nothing waits.
#ifndef MANGOVANE_TEST_ADMISSION_GATED_FLEET_HPP
#define MANGOVANE_TEST_ADMISSION_GATED_FLEET_HPP

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "mangovane/admission/admission_gate.hpp"

namespace mangovane::test
{

struct fleet_load
{
    std::uint8_t urgency{5};
    double requests_per_s{0}; ///< Over all instances.
    int from{0};              ///< They are sent from this time on, in ms,
    int until{0};             ///< and no longer than this.
};

struct fleet_params
{
    int digest_period{200}; ///< ms.
    bool admission{true};
    bool callers_return{false}; ///< Once, at the time that a refusal advises.
};

/// What the callers of one load got.
struct fleet_result
{
    std::uint32_t arrived{0};
    std::uint32_t in_time{0}; ///< Answers within the deadline.
    std::uint32_t refused{0};
    std::uint32_t waited{0};
    std::uint32_t returned{0};        ///< Callers that came back after a refusal,
    std::uint32_t returned_served{0}; ///< and those of them that got an answer in time.

    [[nodiscard]] double served() const
    {
        return arrived == 0 ? 1 : static_cast<double>(in_time) / arrived;
    }
};

class gated_fleet
{
public:
    gated_fleet(std::vector<fleet_load> loads, fleet_params params)
        : params_{params}, loads_{std::move(loads)}, results_(loads_.size()), reported_(instances),
          own_(instances)
    {
        for (std::size_t n = 0; n != instances; ++n)
        {
            gates_.push_back(std::make_unique<admission_gate>(admission_policy{true}, n + 1));
        }
    }

    static constexpr std::size_t instances = 100;
    static constexpr int slots = 18;
    static constexpr int work = 30;                           ///< ms.
    static constexpr double capacity = 1000.0 * slots / work; ///< Requests per second.
    static constexpr milliseconds deadline{800};
    static inline const time_point start{seconds{1000}};

    void play(int until)
    {
        for (; now_ms_ != until; ++now_ms_)
        {
            end_work();
            begin_work();
            exchange_digests();
            come_back();
            arrive();
            if (now_ms_ % 10 == 0)
            {
                release();
            }
        }
    }

    [[nodiscard]] const fleet_result& result(std::size_t load) const { return results_.at(load); }
    [[nodiscard]] std::size_t most_at_endpoints() const { return most_at_endpoints_; }
    [[nodiscard]] std::size_t waiting() const { return pending_.size(); }

private:
    struct request
    {
        std::uint64_t ticket{0};
        std::size_t load{0};
        std::size_t instance{0};
        time_point deadline;
        bool returned{false};
    };

    [[nodiscard]] time_point now() const { return start + milliseconds{now_ms_}; }

    [[nodiscard]] service_room room_of(std::size_t instance) const
    {
        service_room result;
        result.endpoints = 1;
        result.slots = slots;
        result.live_instances = instances;
        result.own = own_[instance];
        result.age = milliseconds{params_.digest_period / 2};
        result.completions_per_s = completions_per_s_;
        result.in_flight = own_[instance] + reported_total_ - reported_[instance];
        return result;
    }

    /// Each instance sends its digest at its own moment of the period.
    void exchange_digests()
    {
        for (std::size_t n = 0; n != instances; ++n)
        {
            const auto offset = static_cast<int>(n) * params_.digest_period / int{instances};
            if (now_ms_ % params_.digest_period == offset)
            {
                reported_total_ += own_[n] - static_cast<double>(reported_[n]);
                reported_[n] = own_[n];
            }
        }
        // As the digests: a mean over some time.
        completions_per_s_ += (1000.0 * ended_ - completions_per_s_) / 1500;
        ended_ = 0;
    }

    void arrive()
    {
        for (std::size_t load = 0; load != loads_.size(); ++load)
        {
            const auto& it = loads_[load];
            const bool active = now_ms_ >= it.from && now_ms_ < it.until;
            std::poisson_distribution<int> arrivals{active ? it.requests_per_s / 1000 : 1e-12};
            for (int left = arrivals(random_); left > 0; --left)
            {
                ++results_[load].arrived;
                ask({0, load, random_() % instances, now() + deadline, false});
            }
        }
    }

    void come_back()
    {
        const auto until = returning_.upper_bound(now());
        const std::vector due(returning_.begin(), until);
        returning_.erase(returning_.begin(), until);
        for (const auto& [at, it] : due)
        {
            ++results_[it.load].returned;
            ask({0, it.load, random_() % instances, now() + deadline, true});
        }
    }

    void ask(request it)
    {
        it.ticket = ++tickets_;
        if (!params_.admission)
        {
            send(it);
            return;
        }
        const admission_request asked{it.ticket,
                                      account_id::of("parish"),
                                      loads_[it.load].urgency,
                                      false,
                                      1000,
                                      1,
                                      now(),
                                      it.deadline - milliseconds{2 * work}};
        const auto decision = gates_[it.instance]
                                  ->ask(service_id::of("plain"), asked, room_of(it.instance), now())
                                  .decision;
        if (decision.verdict == admission_verdict::wait)
        {
            ++results_[it.load].waited;
            pending_.emplace(it.ticket, it);
            return;
        }
        settle(it, decision);
    }

    void release()
    {
        for (std::size_t n = 0; n != instances; ++n)
        {
            for (const auto service : gates_[n]->services_waiting())
            {
                for (const auto& it : gates_[n]->release(service, room_of(n), now()))
                {
                    const auto found = pending_.find(it.ticket);
                    const auto waited = found->second;
                    pending_.erase(found);
                    settle(waited, it.decision);
                }
            }
        }
    }

    void settle(const request& it, const admission_decision& decision)
    {
        if (decision.verdict == admission_verdict::send)
        {
            send(it);
            return;
        }
        ++results_[it.load].refused;
        if (params_.callers_return && !it.returned)
        {
            returning_.emplace(decision.at, it);
        }
    }

    void send(const request& it)
    {
        ++own_[it.instance];
        at_endpoints_.push(it);
        most_at_endpoints_ = std::max(most_at_endpoints_, at_endpoints_.size());
    }

    /// The endpoints take requests in their order of arrival.
    void begin_work()
    {
        for (; running_ < slots && !at_endpoints_.empty(); ++running_)
        {
            ends_.emplace(now_ms_ + work, at_endpoints_.front());
            at_endpoints_.pop();
        }
    }

    void end_work()
    {
        for (; !ends_.empty() && ends_.begin()->first <= now_ms_; ends_.erase(ends_.begin()))
        {
            const auto& it = ends_.begin()->second;
            --running_;
            --own_[it.instance];
            ++ended_;
            const bool in_time = now() <= it.deadline;
            results_[it.load].in_time += in_time ? 1 : 0;
            results_[it.load].returned_served += in_time && it.returned ? 1 : 0;
        }
    }

    const fleet_params params_;
    const std::vector<fleet_load> loads_;
    std::vector<fleet_result> results_;
    std::vector<std::unique_ptr<admission_gate>> gates_;
    std::vector<std::uint32_t> reported_; ///< In the last digest of each instance.
    std::vector<std::uint32_t> own_;      ///< In flight, of each instance.
    double reported_total_{0};            ///< Sum over `reported_`.
    double completions_per_s_{0};
    int ended_{0}; ///< In this step.
    std::mt19937 random_{20261206};
    std::map<std::uint64_t, request> pending_;     ///< By ticket.
    std::multimap<time_point, request> returning_; ///< By the advised time.
    std::queue<request> at_endpoints_;             ///< That no slot processes yet.
    std::multimap<int, request> ends_;             ///< Being processed, by their end in ms.
    std::uint64_t tickets_{0};
    std::size_t most_at_endpoints_{0};
    int running_{0};
    int now_ms_{0};
};

} // namespace mangovane::test

#endif
