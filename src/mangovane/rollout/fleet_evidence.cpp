// Implementation of the evidence of all instances.
#include "mangovane/rollout/fleet_evidence.hpp"

#include <algorithm>

namespace mangovane
{

namespace
{

/// A route on which the ordered version has less than this part of the responses of the busiest
/// route is too quiet to wait for.
constexpr double min_route_part = 0.2;

/// Endpoints with bad responses that make a defect one of the version and not of an endpoint.
constexpr std::size_t min_bad_endpoints = 2;

} // namespace

void fleet_evidence::on_response(std::uint64_t route,
                                 version_side side,
                                 bool failed,
                                 milliseconds first_byte,
                                 endpoint_id endpoint)
{
    auto& entry = own_[route];
    entry.route = route;
    auto& answers = side == version_side::ordered ? entry.ordered : entry.current;
    if (!failed)
    {
        answers.first_bytes.add(first_byte);
    }
    else
    {
        ++answers.failed;
    }
    const auto found = routes_.find(route);
    const bool late = found != routes_.end() && found->second.is_slow(first_byte);
    const bool bad = side == version_side::ordered && (failed || late);
    if (bad && own_bad_endpoints_.size() < max_report_endpoints)
    {
        own_bad_endpoints_.insert(endpoint);
    }
}

bool fleet_evidence::is_below(const std::vector<route_answers>& lhs,
                              const std::vector<route_answers>& rhs)
{
    const auto responses = [](const std::vector<route_answers>& list)
    {
        std::uint64_t result = 0;
        for (const auto& it : list)
        {
            result += it.current.total();
            result += it.ordered.total();
        }
        return result;
    };
    return responses(lhs) < responses(rhs);
}

fleet_evidence::answers_by_route fleet_evidence::sum_of(answers_by_route lhs,
                                                        const std::vector<route_answers>& rhs)
{
    for (const auto& it : rhs)
    {
        auto& entry = lhs[it.route];
        entry = {it.route, mangovane::sum_of(entry.current, it.current),
                 mangovane::sum_of(entry.ordered, it.ordered)};
    }
    return lhs;
}

void fleet_evidence::on_report(instance_id from, const rollout_report& report)
{
    auto& last = reported_[from];
    if (is_below(report.routes, last))
    {
        former_ = sum_of(std::move(former_), last);
    }
    last = report.routes;
    bad_endpoints_.insert(report.bad_endpoints.begin(), report.bad_endpoints.end());
}

void fleet_evidence::update()
{
    auto all = sum_of(former_, own_routes());
    for (const auto& [from, list] : reported_)
    {
        all = sum_of(std::move(all), list);
    }
    for (const auto& [route, sums] : all)
    {
        routes_[route].update(sums);
    }
    bad_endpoints_.insert(own_bad_endpoints_.begin(), own_bad_endpoints_.end());
}

version_verdict fleet_evidence::verdict(std::uint32_t ordered_endpoints) const
{
    const auto needed = std::min<std::size_t>(min_bad_endpoints, ordered_endpoints);
    if (bad_endpoints_.size() < needed)
    {
        return {};
    }
    for (const auto& [route, it] : routes_)
    {
        if (it.defect() != version_defect::none)
        {
            const auto& sums = it.sums();
            return {it.defect(),
                    route,
                    {sums.current.total(), sums.current.failed},
                    {sums.ordered.total(), it.bad()}};
        }
    }
    return {};
}

void fleet_evidence::restart_confirmation()
{
    for (auto& [route, it] : routes_)
    {
        it.restart_confirmation();
    }
}

bool fleet_evidence::confirmed() const
{
    std::uint32_t busiest = 0;
    for (const auto& [route, it] : routes_)
    {
        busiest = std::max(busiest, it.sums().ordered.total());
    }
    return busiest != 0 && std::all_of(routes_.begin(), routes_.end(),
                                       [&](const auto& it)
                                       {
                                           const auto& sums = it.second.sums();
                                           return sums.ordered.total() < min_route_part * busiest ||
                                                  it.second.confirmed();
                                       });
}

bool fleet_evidence::favours_usual_rates() const
{
    double failures = 0;
    double slowness = 0;
    for (const auto& [route, it] : routes_)
    {
        failures += it.failure_ratio();
        slowness += it.slowness_ratio();
    }
    return failures <= 0 && slowness <= 0;
}

std::uint32_t fleet_evidence::good_ordered() const
{
    std::uint32_t result = 0;
    for (const auto& [route, it] : routes_)
    {
        result += it.sums().ordered.good();
    }
    return result;
}

response_counts fleet_evidence::counts(version_side side) const
{
    response_counts result;
    for (const auto& [route, it] : routes_)
    {
        const auto counts = it.counts(side);
        result.good += counts.good;
        result.failed += counts.failed;
        result.slow += counts.slow;
    }
    return result;
}

std::vector<route_answers> fleet_evidence::own_routes() const
{
    std::vector<route_answers> result;
    result.reserve(own_.size());
    for (const auto& [route, it] : own_)
    {
        result.push_back(it);
    }
    return result;
}

std::vector<endpoint_id> fleet_evidence::own_bad_endpoints() const
{
    return {own_bad_endpoints_.begin(), own_bad_endpoints_.end()};
}

std::vector<route_answers> fleet_evidence::sums() const
{
    std::vector<route_answers> result;
    result.reserve(routes_.size());
    for (const auto& [route, it] : routes_)
    {
        result.push_back(it.sums());
    }
    return result;
}

} // namespace mangovane
