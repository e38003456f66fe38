// Tests of the shares that instances use while the owner of an endpoint cannot be reached. Shares
// of the whole bound, in addition to the slots of an owner that other instances reach, would give a
// cold endpoint more requests than its ramp allows.
#include "mangovane/routing/local_shares.hpp"

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point now{seconds{100}};
const endpoint_id engine = endpoint_id::of("engine-0");

/// One of `count` instances in a common membership view, with settings and one endpoint.
class instance
{
public:
    instance(std::size_t n, std::size_t count)
        : state_{self_of(n), detector_timing{}, n}, shares{state_}
    {
        std::vector<listed_instance> list;
        for (std::size_t k = 0; k != count; ++k)
        {
            list.push_back({self_of(k).name, "127.0.0.1:1", domain_id{1}});
        }
        state_.members().on_platform_list(list, now);
        (void)state_.members().tick(now);
        auto settings = std::make_shared<settings_snapshot>();
        settings->stamp = {1, 1};
        service_policy policy;
        policy.id = service_id::of("s");
        settings->services.emplace(policy.id, policy);
        state_.adopt(settings);
        endpoint_info info;
        info.id = engine;
        info.service = policy.id;
        state_.set_endpoints(
            std::make_shared<endpoint_directory>(std::vector<endpoint_info>{info}));
    }

    static member self_of(std::size_t n)
    {
        member result{instance_id::of("router-" + std::to_string(n)), 1};
        result.name = "router-" + std::to_string(n);
        result.address = "127.0.0.1:1";
        result.domain = domain_id{1};
        return result;
    }

private:
    instance_state state_;

public:
    local_shares shares;
};

/// Slots that four instances acquire in total after their polls.
std::uint32_t acquired_slots(endpoint_poll_state condition)
{
    std::uint32_t result = 0;
    for (std::size_t n = 0; n != 4; ++n)
    {
        instance it{n, 4};
        const service_load load{20, 4};
        CHECK_FALSE(it.shares.try_acquire(engine, load, now));
        it.shares.on_poll(engine, condition, now);
        while (it.shares.try_acquire(engine, load, now))
        {
            ++result;
        }
    }
    return result;
}

} // namespace

TEST_CASE("the local shares of an endpoint")
{
    SUBCASE("add up to its bound while it is available")
    {
        CHECK(acquired_slots(endpoint_poll_state::available) > 2);
    }
    SUBCASE("add up to the start of the ramp while it is cold")
    {
        // With shares of the whole bound, a cold endpoint got one request more than its ramp
        // allows.
        CHECK(acquired_slots(endpoint_poll_state::cold) == service_policy{}.ramp_start);
    }
    SUBCASE("are empty while it is unavailable")
    {
        CHECK(acquired_slots(endpoint_poll_state::unavailable) == 0);
    }
}
