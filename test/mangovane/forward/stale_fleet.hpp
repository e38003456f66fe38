// Many instances that choose endpoints for a random load, each with exact knowledge of its own
// requests and late knowledge of the others'. Events are played in order of time; nothing waits.
#ifndef MANGOVANE_TEST_FORWARD_STALE_FLEET_HPP
#define MANGOVANE_TEST_FORWARD_STALE_FLEET_HPP

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "mangovane/core/hash.hpp"
#include "mangovane/forward/placement_rule.hpp"

namespace mangovane::test
{

/// Figures of a fleet and its load. Times are in ms.
struct fleet_figures
{
    std::size_t instances{100};
    std::size_t endpoints{3};
    std::size_t slots{6};
    double work{30};
    double requests_per_s{350};
    double digest_period{200};
    double played{40000};
    /// Speed of an endpoint at a time, as a multiple of the usual; 0: it takes no requests.
    std::function<double(std::size_t endpoint, double at)> speed = [](std::size_t, double)
    { return 1.0; };
};

/// What callers got.
struct fleet_result
{
    double p99{0}; ///< Of the response time, ms.
    /// Share of requests that waited at their endpoint while another one had a free slot.
    double waited_in_vain{0};
};

/// How an instance of the simulation chooses.
enum class chooser
{
    random,
    least_loaded, ///< By what the instance knows.
    even,
    perfect, ///< The fastest response, by the true loads and speeds.
};

class stale_fleet
{
public:
    stale_fleet(fleet_figures figures, chooser how)
        : figures_{std::move(figures)}, how_{how},
          own_(figures_.instances, std::vector<std::uint32_t>(figures_.endpoints)),
          published_(own_), published_sum_(figures_.endpoints), load_(figures_.endpoints),
          waiting_(figures_.endpoints),
          heard_(figures_.instances, std::vector<statement>(figures_.endpoints)),
          known_(figures_.endpoints)
    {}

    [[nodiscard]] fleet_result play()
    {
        schedule_first_events();
        while (!events_.empty() && events_.top().at < figures_.played)
        {
            const auto it = events_.top();
            events_.pop();
            now_ = it.at;
            (this->*handlers[static_cast<std::size_t>(it.what)])(it);
        }
        std::sort(times_.begin(), times_.end());
        const auto p99 = times_.size() * 99 / 100;
        return {times_.empty() ? 0 : times_[p99],
                static_cast<double>(in_vain_) / static_cast<double>(requests_)};
    }

private:
    enum class kind
    {
        arrival,
        completion,
        digest,
    };

    struct event
    {
        double at{0};
        kind what{kind::arrival};
        std::size_t instance{0};
        std::size_t endpoint{0};
        double arrived_at{0};

        bool operator>(const event& rhs) const { return at > rhs.at; }
    };

    /// The speed that an endpoint states in a response.
    struct statement
    {
        double at{-1};
        double speed{1};
    };

    struct pending_request
    {
        std::size_t instance{0};
        double arrived_at{0};
    };

    using handler = void (stale_fleet::*)(const event&);

    void schedule_first_events()
    {
        events_.push({next_arrival(), kind::arrival, 0, 0, 0});
        for (std::size_t n = 0; n != figures_.instances; ++n)
        {
            const double offset = figures_.digest_period * uniform_(random_);
            events_.push({offset, kind::digest, n, 0, 0});
        }
    }

    double next_arrival()
    {
        return now_ + std::exponential_distribution<>{figures_.requests_per_s / 1000}(random_);
    }

    void on_arrival(const event&)
    {
        const std::size_t instance = random_() % figures_.instances;
        const auto endpoint = choose(instance);
        ++requests_;
        ++own_[instance][endpoint];
        ++load_[endpoint];
        const bool waits = load_[endpoint] > figures_.slots;
        in_vain_ += waits && another_has_room(endpoint) ? 1 : 0;
        if (waits)
        {
            waiting_[endpoint].push({instance, now_});
        }
        else
        {
            start({instance, now_}, endpoint);
        }
        events_.push({next_arrival(), kind::arrival, 0, 0, 0});
    }

    void start(const pending_request& it, std::size_t endpoint)
    {
        const double speed = std::max(0.1, figures_.speed(endpoint, now_));
        const double work = std::gamma_distribution<>{3, figures_.work / 3}(random_);
        events_.push({now_ + work / speed, kind::completion, it.instance, endpoint, it.arrived_at});
    }

    void on_completion(const event& it)
    {
        times_.push_back(now_ - it.arrived_at);
        heard_[it.instance][it.endpoint] = {now_, figures_.speed(it.endpoint, now_)};
        --own_[it.instance][it.endpoint];
        --load_[it.endpoint];
        auto& waiting = waiting_[it.endpoint];
        if (!waiting.empty())
        {
            start(waiting.front(), it.endpoint);
            waiting.pop();
        }
    }

    void on_digest(const event& it)
    {
        for (std::size_t n = 0; n != figures_.endpoints; ++n)
        {
            published_sum_[n] += own_[it.instance][n];
            published_sum_[n] -= published_[it.instance][n];
            const auto& heard = heard_[it.instance][n];
            known_[n] = heard.at > known_[n].at ? heard : known_[n];
        }
        published_[it.instance] = own_[it.instance];
        events_.push({now_ + figures_.digest_period, kind::digest, it.instance, 0, 0});
    }

    [[nodiscard]] bool another_has_room(std::size_t endpoint) const
    {
        for (std::size_t n = 0; n != figures_.endpoints; ++n)
        {
            if (n != endpoint && load_[n] < figures_.slots && figures_.speed(n, now_) > 0)
            {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] double stated_speed(std::size_t instance, std::size_t endpoint) const
    {
        const auto& own = heard_[instance][endpoint];
        return own.at > known_[endpoint].at ? own.speed : known_[endpoint].speed;
    }

    [[nodiscard]] std::size_t choose(std::size_t instance)
    {
        std::vector<placement_candidate> candidates;
        std::vector<std::size_t> positions;
        for (std::size_t n = 0; n != figures_.endpoints; ++n)
        {
            const bool perfect = how_ == chooser::perfect;
            const double truth = figures_.speed(n, now_);
            const auto others = published_sum_[n] - published_[instance][n];
            const auto known = own_[instance][n] + others;
            if (truth > 0)
            {
                candidates.push_back({endpoint_id{n + 1}, domain_id{1},
                                      static_cast<std::uint32_t>(perfect ? load_[n] : known), false,
                                      std::max(0.1, perfect ? truth : stated_speed(instance, n))});
                positions.push_back(n);
            }
        }
        return positions[choose_among(candidates)];
    }

    [[nodiscard]] std::size_t choose_among(const std::vector<placement_candidate>& candidates)
    {
        const auto all = [](const placement_candidate&) { return true; };
        // Digests are half a period old in the mean.
        const double unreported = figures_.requests_per_s / 1000 * figures_.digest_period / 2;
        const placement_context context{candidates, 1'000'000,    0,
                                        random_(),  domain_id{2}, unreported};
        switch (how_)
        {
        case chooser::random:
            return random_() % candidates.size();
        case chooser::least_loaded:
            return *least_loaded_placement().choose(context, all);
        case chooser::even:
            return *even_placement().choose(context, all);
        case chooser::perfect:
            break;
        }
        const auto best = std::min_element(candidates.begin(), candidates.end(),
                                           [&](const auto& lhs, const auto& rhs)
                                           { return delay(lhs) < delay(rhs); });
        return static_cast<std::size_t>(best - candidates.begin());
    }

    /// Expected time of a response at an endpoint with this load.
    [[nodiscard]] double delay(const placement_candidate& it) const
    {
        const double ahead = it.load < figures_.slots ? 0 : it.load + 1.0 - figures_.slots;
        return (1 + ahead / static_cast<double>(figures_.slots)) / it.speed;
    }

    static constexpr handler handlers[]{&stale_fleet::on_arrival, &stale_fleet::on_completion,
                                        &stale_fleet::on_digest};

    fleet_figures figures_;
    chooser how_;
    std::mt19937_64 random_{20261206};
    std::uniform_real_distribution<double> uniform_{0, 1};
    double now_{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::vector<std::uint32_t>> own_;       ///< Requests by instance and endpoint.
    std::vector<std::vector<std::uint32_t>> published_; ///< The same in the last digests.
    std::vector<std::uint32_t> published_sum_;
    std::vector<std::uint32_t> load_; ///< True loads.
    std::vector<std::queue<pending_request>> waiting_;
    std::vector<std::vector<statement>> heard_; ///< Newest by instance and endpoint.
    std::vector<statement> known_;              ///< Newest in the digests of all instances.
    std::vector<double> times_;
    std::uint64_t requests_{0};
    std::uint64_t in_vain_{0};
};

} // namespace mangovane::test

#endif
