// Tests of the tokens that requests hold at endpoints.
// Guards against an endpoint whose memory is exceeded by requests of several instances, and against
// tokens that stay counted after their request has ended.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "mangovane/forward/forward_core.hpp"
#include "mangovane/forward/forward_fixture.hpp"
#include "mangovane/forward/forward_flow.hpp"

using namespace mangovane;
using test::make_entry;
using test::start;

namespace
{

constexpr std::uint64_t capacity = 10'000;

settings_ptr make_settings(std::uint64_t stated_capacity)
{
    auto result = test::make_settings(10);
    result->services.at(test::model_service).token_capacity = stated_capacity;
    return result;
}

/// An instance with three endpoints.
struct instance
{
    explicit instance(placement_mode mode,
                      std::uint64_t stated_capacity = capacity,
                      const std::string& name = "router")
        : settings{make_settings(stated_capacity)}, core{make_options(mode, name), sink, {}, start}
    {
        core.on_instance_list({{"router", "10.0.0.9:7000", domain_id::of("ikeja-a")},
                               {"peer", "10.0.0.9:7000", domain_id::of("ikeja-a")}},
                              start);
        core.adopt_settings(settings, start);
        std::vector<endpoint_change> entries;
        for (std::uint64_t n = 0; n != 3; ++n)
        {
            entries.push_back(
                make_entry("engine-" + std::to_string(n), test::model_service, "ikeja-a", n + 1));
        }
        core.catalog().replace(entries, 3, start);
        core.refresh(start);
    }

    static forward_options make_options(placement_mode mode, const std::string& name)
    {
        auto result = test::make_options(name, "ikeja-a");
        result.fleet.placement = mode;
        result.fleet.bound.extra = 1000;
        return result;
    }

    [[nodiscard]] dispatch_choice choose(std::uint32_t prompt, std::uint32_t output)
    {
        auto request = test::make_request(settings, "review");
        request.tokens = {prompt, output};
        return core.choose(request, {}, choice_purpose::dispatch, start);
    }

    [[nodiscard]] std::uint64_t held_at(const std::string& name)
    {
        return core.tracker().snapshot_of(endpoint_id::of(name), 0, start).known.held_tokens;
    }

    /// Sum over all endpoints.
    [[nodiscard]] std::uint64_t held()
    {
        return held_at("engine-0") + held_at("engine-1") + held_at("engine-2");
    }

    settings_ptr settings;
    test::recording_sink sink;
    forward_core core;
};

/// Delivers the messages of two instances to each other for some seconds. Returns the digests that
/// the first one sent.
std::vector<load_digest> exchange(instance& first, instance& second)
{
    std::vector<load_digest> result;
    for (auto now = start; now < start + seconds{3}; now += milliseconds{50})
    {
        first.core.tick(now);
        second.core.tick(now);
        for (const auto& it : first.sink.of<load_digest>())
        {
            result.push_back(it);
        }
        for (const auto& it : std::exchange(first.sink.sent, {}))
        {
            second.core.on_message(instance_id::of("router"), it.body, now);
        }
        for (const auto& it : std::exchange(second.sink.sent, {}))
        {
            first.core.on_message(instance_id::of("peer"), it.body, now);
        }
    }
    return result;
}

bool states_tokens(const std::vector<load_digest>& digests)
{
    return std::any_of(digests.begin(), digests.end(),
                       [](const load_digest& digest)
                       {
                           return std::any_of(digest.endpoints.begin(), digest.endpoints.end(),
                                              [](const endpoint_digest& it)
                                              { return it.held_tokens != 0; });
                       });
}

} // namespace

TEST_CASE("the tokens of a request")
{
    instance it{placement_mode::even};
    const auto first = it.choose(5'000, 1'001);
    REQUIRE(first);

    SUBCASE("count at its endpoint until it ends")
    {
        CHECK(it.held_at(first->name) == 6'001);
        it.core.on_tokens_released(first->endpoint, {5'000, 1'001});
        it.core.finish(first->endpoint, health_outcome::answered, start);
        CHECK(it.held() == 0);
    }
    SUBCASE("are released by the flow of the request, however it ends")
    {
        it.core.on_tokens_released(first->endpoint, {5'000, 1'001});
        auto request = test::make_request(it.settings, "review");
        request.tokens = {700, 60};
        forward_flow flow{request, it.core};
        CHECK(std::holds_alternative<send_step>(flow.start(start)));
        CHECK(it.held() == 760);
        SUBCASE("with a response")
        {
            (void)flow.on_result(attempt_result::delivered, start);
        }
        SUBCASE("without its caller")
        {
            flow.abandon(start);
        }
        SUBCASE("with a failure")
        {
            (void)flow.on_result(attempt_result::error, start);
        }
        CHECK(it.held() == 0);
    }
    SUBCASE("keep requests away that would exceed the capacity, while others can hold them")
    {
        const auto second = it.choose(5'000, 0);
        const auto third = it.choose(5'500, 0);
        REQUIRE(second);
        REQUIRE(third);
        CHECK(second->endpoint != first->endpoint);
        CHECK(third->endpoint != first->endpoint);
        CHECK(third->endpoint != second->endpoint);

        SUBCASE("and the next goes to the one with the most free tokens")
        {
            CHECK(it.choose(9'000, 0)->endpoint == second->endpoint);
        }
    }
    SUBCASE("count at the other instances, in units of 64 and rounded up")
    {
        instance other{placement_mode::even, capacity, "peer"};
        CHECK(states_tokens(exchange(it, other)));
        CHECK(other.held_at(first->name) == 94 * 64);
        CHECK(other.held() == 94 * 64);
    }
    SUBCASE("of other instances keep requests away from a full endpoint")
    {
        const auto peer = instance_id::of("router-1");
        endpoint_digest full{endpoint_id::of("engine-0"), 1, 0, 0};
        full.held_tokens = 150;
        it.core.on_message(peer, load_digest{{full}}, start);
        CHECK(it.held_at("engine-0") >= 150 * endpoint_digest::held_tokens_unit);
        for (int n = 0; n != 20; ++n)
        {
            const auto next = it.choose(1'000, 0);
            REQUIRE(next);
            CHECK(next->name != "engine-0");
            it.core.on_tokens_released(next->endpoint, {1'000, 0});
            it.core.finish(next->endpoint, health_outcome::cancelled, start);
        }
        it.core.on_message(peer, load_digest{}, start);
        CHECK(it.held_at("engine-0") <= 6'001);
    }
    SUBCASE("that is larger than the capacity lead to a refusal, and nothing is counted")
    {
        const auto refused = it.choose(9'000, 1'001);
        REQUIRE_FALSE(refused);
        CHECK(refused.refusal().kind == error_kind::overloaded);
        CHECK(it.held() == 6'001);
    }
}

TEST_CASE("tokens are not counted")
{
    // Guards against a change for deployments that have not asked for it.
    SUBCASE("by default: a request of any size is sent, and digests are as before")
    {
        instance it{placement_mode::least_loaded};
        instance other{placement_mode::least_loaded, capacity, "peer"};
        CHECK(it.choose(900'000, 1));
        const auto digests = exchange(it, other);
        CHECK_FALSE(digests.empty());
        CHECK_FALSE(states_tokens(digests));
        CHECK(it.held() == 0);
    }
    SUBCASE("in digests of a service without a stated capacity")
    {
        instance it{placement_mode::even, 0};
        instance other{placement_mode::even, 0, "peer"};
        CHECK(it.choose(900'000, 1));
        const auto digests = exchange(it, other);
        CHECK_FALSE(digests.empty());
        CHECK_FALSE(states_tokens(digests));
    }
}
