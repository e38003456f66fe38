// Implementation of the measurement of endpoint choices.
#include "bench/forward_choice.hpp"

#include <array>
#include <memory>
#include <string>
#include <utility>

#include <absl/strings/str_cat.h>

#include "bench/process_cost.hpp"
#include "mangovane/core/hash.hpp"
#include "mangovane/forward/forward_core.hpp"

namespace mangovane::bench
{

namespace
{

constexpr std::array<std::size_t, 2> endpoint_counts{160, 943};
constexpr std::size_t peers = 20;
constexpr std::uint64_t choices = 4'000;
constexpr std::uint64_t prefixes = 500;
constexpr time_point now{seconds{1000}};

class discarding_sink final : public message_sink
{
public:
    void send(const outgoing_message& /*msg*/) override {}
};

settings_ptr make_settings(service_id service)
{
    auto result = std::make_shared<settings_snapshot>();
    result->stamp = {1, 1};
    service_policy policy;
    policy.id = service;
    policy.name = "bench";
    result->services.emplace(policy.id, policy);
    route_policy route;
    route.name = "bench";
    route.host = "bench.example";
    route.prefix = "/";
    route.kind = route_kind::stream;
    route.sticky = true;
    route.targets = {{service, 1}};
    result->routes = route_list{{route}};
    return result;
}

std::vector<endpoint_change> make_entries(service_id service, std::size_t count)
{
    std::vector<endpoint_change> result;
    for (std::size_t n = 0; n != count; ++n)
    {
        endpoint_change it;
        it.name = absl::StrCat("engine-", n);
        it.revision = n + 1;
        endpoint_info info;
        info.id = endpoint_id::of(it.name);
        info.service = service;
        info.domain = domain_id::of(absl::StrCat("domain-", n % 3));
        info.name = it.name;
        info.address = absl::StrCat("10.0.0.1:", 1000 + n);
        it.info = std::move(info);
        result.push_back(std::move(it));
    }
    return result;
}

/// The load that one other instance has at a part of the endpoints.
load_digest make_digest(const std::vector<endpoint_change>& entries, std::size_t peer)
{
    load_digest result;
    for (std::size_t n = peer % 2; n < entries.size(); n += 2)
    {
        const auto in_flight = hash_combine(peer, n) % 4;
        result.endpoints.push_back(
            {entries[n].info->id, static_cast<std::uint16_t>(in_flight), 0, 2});
    }
    return result;
}

void measure_mode(std::vector<measurement>& measurements,
                  placement_mode mode,
                  const std::string& mode_name,
                  std::size_t count)
{
    const auto service = service_id::of("bench");
    const auto settings = make_settings(service);
    const auto entries = make_entries(service, count);
    discarding_sink sink;
    forward_options options;
    options.self.id = instance_id::of("router");
    options.self.domain = domain_id::of("domain-0");
    options.fleet.placement = mode;
    forward_core core{options, sink, {}, now};
    core.adopt_settings(settings, now);
    core.catalog().replace(entries, count, now);
    core.refresh(now);
    for (std::size_t n = 0; n != peers; ++n)
    {
        const auto peer = instance_id::of(absl::StrCat("peer-", n));
        core.on_message(peer, make_digest(entries, n), now);
    }
    forward_request request;
    request.settings = settings;
    request.route = settings->routes.match("bench.example", "/");
    request.service = service;
    for (const bool prefix : {false, true})
    {
        const auto choose = [&](std::uint64_t n)
        {
            request.request = absl::StrCat("r", n);
            if (prefix)
            {
                request.prompt = {{1, 512}, {n % prefixes + 2, 4000}, {n + 10'000, 130}};
            }
            const auto chosen = core.choose(request, {}, choice_purpose::dispatch, now);
            if (chosen)
            {
                core.finish(chosen->endpoint, health_outcome::answered, now);
            }
        };
        const auto time = mean_cpu_us(choices, choose);
        measurements.push_back(
            {absl::StrCat("forward.", mode_name, prefix ? ".prefix." : ".plain.", count, ".cpu"),
             time, "us"});
    }
}

} // namespace

void measure_forward_choice(std::vector<measurement>& measurements)
{
    for (const auto count : endpoint_counts)
    {
        measure_mode(measurements, placement_mode::least_loaded, "least_loaded", count);
        measure_mode(measurements, placement_mode::even, "even", count);
    }
}

} // namespace mangovane::bench
