// Implementation of routes and their lookup.
#include "mangovane/settings/route.hpp"

#include <numeric>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

service_id route_policy::pick_service(std::uint64_t hash) const noexcept
{
    const auto add_weight = [](std::uint64_t sum, const route_target& it)
    { return sum + it.weight; };
    const auto total_weight =
        std::accumulate(targets.begin(), targets.end(), std::uint64_t{0}, add_weight);
    if (total_weight == 0)
    {
        return targets.front().service;
    }
    auto n = hash_combine(hash, total_weight) % total_weight;
    for (const auto& it : targets)
    {
        if (n < it.weight)
        {
            return it.service;
        }
        n -= it.weight;
    }
    return targets.back().service;
}

route_list::route_list(std::vector<route_policy> routes) : routes_{std::move(routes)}
{
    by_host_and_prefix_.reserve(routes_.size());
    for (std::size_t n = 0; n != routes_.size(); ++n)
    {
        by_host_and_prefix_.insert_or_assign(absl::StrCat(routes_[n].host, routes_[n].prefix), n);
    }
}

const route_policy* route_list::match(std::string_view host, std::string_view path) const
{
    if (host.find('/') != std::string_view::npos)
    {
        return nullptr;
    }
    auto key = absl::AsciiStrToLower(absl::string_view{host.data(), host.size()});
    const auto host_length = key.size();
    key.append(path.data(), path.size());
    // Every prefix ends with a slash, so the candidates are the path up to each of its slashes.
    for (auto end = key.rfind('/'); end != std::string::npos && end >= host_length;)
    {
        key.resize(end + 1);
        if (const auto it = by_host_and_prefix_.find(key); it != by_host_and_prefix_.end())
        {
            return &routes_[it->second];
        }
        end = end == 0 ? std::string::npos : key.rfind('/', end - 1);
    }
    return nullptr;
}

} // namespace mangovane
