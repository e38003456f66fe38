// Guards against requests that are routed to the service of another host or of a shorter prefix, or
// distributed to services against their weights.
#include "mangovane/settings/route.hpp"

#include <map>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

route_policy route(const std::string& host, const std::string& prefix)
{
    route_policy result;
    result.name = host + prefix;
    result.host = host;
    result.prefix = prefix;
    result.targets = {{service_id::of("s"), 1}};
    return result;
}

} // namespace

TEST_CASE("the route of a request")
{
    const route_list routes{{route("a.example", "/"), route("a.example", "/x/"),
                             route("a.example", "/x/y/"), route("b.example", "/x/")}};
    const auto name = [&](const char* host, const char* path)
    {
        const auto* it = routes.match(host, path);
        return it == nullptr ? std::string{} : it->name;
    };

    SUBCASE("is the one of its host with the longest matching prefix")
    {
        CHECK(name("a.example", "/x/y/z") == "a.example/x/y/");
        CHECK(name("a.example", "/x/z") == "a.example/x/");
        CHECK(name("a.example", "/z") == "a.example/");
        CHECK(name("A.Example", "/x/z") == "a.example/x/");
    }
    SUBCASE("is absent for another host, or for a path that matches no prefix up to a slash")
    {
        CHECK(name("b.example", "/z").empty());
        CHECK(name("c.example", "/x/").empty());
        CHECK(name("b.example", "/xx/").empty());
        CHECK(name("b.example", "").empty());
        // A slash in the host must not be taken for the start of the path.
        CHECK(name("a.example/x", "/y/z").empty());
    }
}

TEST_CASE("a route with several services distributes its requests by their weights")
{
    auto it = route("a.example", "/");
    it.targets = {{service_id::of("s"), 90}, {service_id::of("t"), 10}};
    std::map<service_id, int> counts;
    for (std::uint64_t n = 0; n != 10000; ++n)
    {
        ++counts[it.pick_service(n)];
    }
    CHECK(counts[service_id::of("t")] > 800);
    CHECK(counts[service_id::of("t")] < 1200);

    SUBCASE("if all weights are 0, the first service gets all requests")
    {
        it.targets = {{service_id::of("s"), 0}, {service_id::of("t"), 0}};
        CHECK(it.pick_service(5) == service_id::of("s"));
    }
}
