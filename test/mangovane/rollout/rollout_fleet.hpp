// A few instances that carry out the same rollout and exchange reports, driven by a load whose
// responses the test chooses. Time is passed in; nothing waits.
#ifndef MANGOVANE_TEST_ROLLOUT_ROLLOUT_FLEET_HPP
#define MANGOVANE_TEST_ROLLOUT_ROLLOUT_FLEET_HPP

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "mangovane/rollout/rollout.hpp"

namespace mangovane::test
{

/// A response of a version.
struct simulated_response
{
    bool failed{false};
    milliseconds first_byte{100};
};

/// What an endpoint responds to one request.
struct response_context
{
    version_side side{version_side::current};
    std::uint64_t route{0};
    std::size_t instance{0};
    double fraction{0}; ///< Of the rollout's duration that has passed.
    double share{0};    ///< Of the ordered version at the instance.
    double random{0};   ///< From 0 to 1, drawn anew for each request.
};

using response_model = std::function<simulated_response(const response_context&)>;

class rollout_fleet
{
public:
    rollout_fleet(std::size_t instances, milliseconds duration, response_model model)
        : model_{std::move(model)}
    {
        const rollout_order order{service_id::of("s"), "s", "v2", {0, 7}, duration};
        for (std::size_t n = 0; n != instances; ++n)
        {
            instances_.emplace_back(order, policy, start);
        }
        deadline_ = start + duration;
        duration_ = duration;
    }

    static constexpr rollout_policy policy{0.1, 50, milliseconds{5000}};
    static constexpr milliseconds step{100};
    static inline const time_point start{seconds{1000}};

    std::uint32_t requests_per_step{4}; ///< Of each instance.
    std::uint32_t routes{3};
    std::uint32_t ordered_endpoints{10};
    bool own_routes{false};       ///< Each instance has requests on one route only.
    milliseconds report_delay{0}; ///< Of each report, rounded up to a step.
    /// Instances before this one hear nothing from those behind, and the reverse.
    std::size_t cut_before{0};

    /// Plays until a moment; writes `done` when an instance can complete the rollout.
    void play_until(double fraction)
    {
        const auto end = start + std::chrono::duration_cast<milliseconds>(duration_ * fraction);
        while (now_ < end)
        {
            play_step();
        }
    }

    [[nodiscard]] rollout& instance(std::size_t n) { return instances_.at(n); }
    [[nodiscard]] std::uint64_t requests() const { return requests_; }
    [[nodiscard]] std::uint64_t ordered_requests() const { return ordered_requests_; }
    [[nodiscard]] std::uint64_t bad_responses() const { return bad_responses_; }
    [[nodiscard]] const std::vector<rollout_event>& events() const { return events_; }
    [[nodiscard]] std::optional<time_point> fiftieth_bad_at() const { return fiftieth_bad_at_; }
    [[nodiscard]] std::optional<time_point> last_ordered_at() const { return last_ordered_at_; }
    [[nodiscard]] std::optional<time_point> done_at() const { return done_at_; }
    [[nodiscard]] time_point deadline() const { return deadline_; }

    /// Whether all instances are in this state.
    [[nodiscard]] bool all(rollout_state state) const
    {
        return std::all_of(instances_.begin(), instances_.end(),
                           [&](const rollout& it) { return it.state() == state; });
    }

private:
    static constexpr std::uint32_t bad_limit = 50;

    [[nodiscard]] bool connected(std::size_t lhs, std::size_t rhs) const
    {
        return lhs != rhs && (lhs < cut_before) == (rhs < cut_before);
    }

    [[nodiscard]] rollout_surroundings surroundings(std::size_t self) const
    {
        rollout_surroundings result{ordered_endpoints, 10, {}};
        for (std::size_t n = 0; n != instances_.size(); ++n)
        {
            if (n != self)
            {
                result.live_peers.push_back(instance_id{n + 1});
            }
        }
        return result;
    }

    void send_request(std::size_t instance)
    {
        auto& it = instances_[instance];
        ++requests_;
        const auto key = random_() % chats;
        const auto side = it.choose_side(key, false);
        const std::uint64_t drawn = random_() % routes;
        const std::uint64_t route = 1 + (own_routes ? instance % routes : drawn);
        const std::chrono::duration<double> passed = now_ - start;
        const std::chrono::duration<double> all_time = duration_;
        const auto response =
            model_({side, route, instance, passed / all_time, it.share(), uniform_(random_)});
        const endpoint_id endpoint{1 + random_() % ordered_endpoints};
        it.on_started(side);
        it.on_response(route, side, response.failed, response.first_byte, endpoint);
        it.on_ended(side);
        if (side != version_side::ordered)
        {
            return;
        }
        ++ordered_requests_;
        last_ordered_at_ = now_;
        const bool bad = response.failed || response.first_byte > slow_time;
        bad_responses_ += bad ? 1 : 0;
        if (bad_responses_ == bad_limit && !fiftieth_bad_at_)
        {
            fiftieth_bad_at_ = now_;
        }
    }

    void exchange()
    {
        for (std::size_t from = 0; from != instances_.size(); ++from)
        {
            const auto report = instances_[from].report();
            for (std::size_t to = 0; to != instances_.size(); ++to)
            {
                if (connected(from, to))
                {
                    on_the_way_.push_back({now_ + report_delay, from, to, report});
                }
            }
        }
    }

    /// Delivers the reports that are due, in the order of sending.
    void deliver()
    {
        while (!on_the_way_.empty() && on_the_way_.front().due <= now_)
        {
            const auto it = std::move(on_the_way_.front());
            on_the_way_.pop_front();
            note(instances_[it.to].on_report(instance_id{it.from + 1}, it.report, now_));
        }
    }

    void note(const std::optional<rollout_event>& event)
    {
        if (event)
        {
            events_.push_back(*event);
        }
    }

    void play_step()
    {
        now_ += step;
        for (std::size_t instance = 0; instance != instances_.size(); ++instance)
        {
            for (std::uint32_t n = 0; n != requests_per_step; ++n)
            {
                send_request(instance);
            }
        }
        if (++steps_ % steps_per_report == 0)
        {
            exchange();
        }
        deliver();
        for (std::size_t n = 0; n != instances_.size(); ++n)
        {
            note(instances_[n].tick(surroundings(n), now_));
            if (instances_[n].can_complete(surroundings(n), now_))
            {
                note(instances_[n].on_stored(rollout_state::done, deadline_));
                done_at_ = now_;
            }
        }
    }

    /// A report that has been sent and not received.
    struct report_on_the_way
    {
        time_point due;
        std::size_t from{0};
        std::size_t to{0};
        rollout_report report;

        bool operator==(const report_on_the_way&) const = default;
    };

    static constexpr std::uint64_t chats = 5000;
    static constexpr std::uint64_t steps_per_report = 5;
    static constexpr milliseconds slow_time{250};

    std::vector<rollout> instances_;
    std::deque<report_on_the_way> on_the_way_;
    response_model model_;
    std::mt19937_64 random_{20261206};
    std::uniform_real_distribution<double> uniform_{0, 1};
    time_point now_{start};
    time_point deadline_;
    milliseconds duration_{0};
    std::uint64_t steps_{0};
    std::uint64_t requests_{0};
    std::uint64_t ordered_requests_{0};
    std::uint64_t bad_responses_{0};
    std::optional<time_point> fiftieth_bad_at_;
    std::optional<time_point> last_ordered_at_;
    std::optional<time_point> done_at_;
    std::vector<rollout_event> events_;
};

} // namespace mangovane::test

#endif
