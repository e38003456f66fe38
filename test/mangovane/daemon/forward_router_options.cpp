// Tests of the forwarding router's options. An invalid option must stop the process at its start,
// with a message that names it.
#include "mangovane/daemon/forward_router_options.hpp"

#include <cstdlib>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

absl::StatusOr<forward_router_options> read(std::vector<const char*> more)
{
    ::setenv("MANGOVANE_CLUSTER_KEY", "a key that is long enough", 1);
    std::vector<const char*> args{"router",        "--name",   "10.0.0.1",     "--domain",
                                  "ikeja-a",       "--listen", "10.0.0.1:80",  "--peer-listen",
                                  "10.0.0.1:7000", "--store",  "10.0.0.9:8223"};
    args.insert(args.end(), more.begin(), more.end());
    return read_forward_router_options(static_cast<int>(args.size()), args.data());
}

} // namespace

TEST_CASE("the options of a forwarding router")
{
    SUBCASE("come from flags")
    {
        const auto it = read(
            {"--seeds", "10.0.0.2:81,10.0.0.3:81", "--retry-slack", "104", "--grace-ms", "7000"});
        REQUIRE(it.ok());
        CHECK(it->seeds.size() == 2);
        CHECK(it->fleet.retries.slack == 104);
        CHECK(it->grace_period == milliseconds{7000});
    }
    SUBCASE("advertise the peer address listened on, or a different one")
    {
        CHECK(read({})->peer_advertise == "10.0.0.1:7000");
        CHECK(read({"--peer-advertise", "10.0.0.1:7001"})->peer_advertise == "10.0.0.1:7001");
        const auto it = read({"--peer-advertise", "somewhere"});
        CHECK(it.status().message().find("peer-advertise 'somewhere'") != std::string::npos);
    }
    SUBCASE("come from the environment, but a flag takes precedence")
    {
        ::setenv("MANGOVANE_THREADS", "3", 1);
        CHECK(read({})->threads == 3);
        CHECK(read({"--threads", "5"})->threads == 5);
        ::unsetenv("MANGOVANE_THREADS");
    }
    SUBCASE("that a deployment gives no value keep their defaults")
    {
        // After a loss of all machines a deployment may know no seed; the process must start.
        CHECK(read({"--seeds", ""})->seeds.empty());
        const auto last = read({"--threads", "3", "--seeds"});
        REQUIRE(last.ok());
        CHECK(last->seeds.empty());
        CHECK(last->threads == 3);
        const auto before_another = read({"--seeds", "--threads", "3"});
        REQUIRE(before_another.ok());
        CHECK(before_another->threads == 3);
        const auto joined = read({"--seeds=", "--threads=3"});
        REQUIRE(joined.ok());
        CHECK(joined->seeds.empty());
        CHECK(joined->threads == 3);
        // Only a known flag that takes a value: a misspelt one must not be ignored.
        CHECK_FALSE(read({"--sedds="}).ok());
        CHECK_FALSE(read({"--check="}).ok());
        const auto number = read({"--threads", "", "--grace-ms", "7000"});
        REQUIRE(number.ok());
        CHECK(number->threads == read({})->threads);
        CHECK(number->grace_period == milliseconds{7000});
    }
    SUBCASE("that a deployment leaves empty keep their defaults")
    {
        ::setenv("MANGOVANE_RETRY_RATIO", "", 1);
        const auto it = read({});
        ::unsetenv("MANGOVANE_RETRY_RATIO");
        REQUIRE(it.ok());
        CHECK(it->fleet.retries.ratio == read({})->fleet.retries.ratio);
    }
    SUBCASE("switch rollouts on only with a share (guards against a deployment without them that "
            "tells versions apart)")
    {
        ::setenv("MANGOVANE_ROLLOUT_SHARE", "", 1);
        CHECK_FALSE(read({})->rollouts.enabled());
        ::unsetenv("MANGOVANE_ROLLOUT_SHARE");
        const auto it =
            read({"--rollout-share", "0.1", "--rollout-tolerance", "50", "--rollback-ms", "5000"});
        CHECK(it->rollouts == rollout_policy{0.1, 50, milliseconds{5000}});
        CHECK_FALSE(read({"--rollout-share", "0.6"}).ok());
    }
    SUBCASE("know how long an endpoint that leaves goes on serving (guards against an exit that is "
            "taken for a crash, or a crash for an exit, where that time is another one)")
    {
        CHECK(read({})->endpoint_drain == milliseconds{2000});
        CHECK(read({"--endpoint-drain-ms", "5000"})->endpoint_drain == milliseconds{5000});
        CHECK_FALSE(read({"--endpoint-drain-ms", "600001"}).ok());
    }
    SUBCASE("refuse a rollback time that no verdict can keep, where there are rollouts")
    {
        const auto it = read({"--rollout-share", "0.1", "--rollback-ms", "999"});
        CHECK(it.status().message().find("rollback-ms '999'") != std::string::npos);
        CHECK(read({"--rollout-share", "0.1", "--rollback-ms", "1000"}).ok());
        CHECK(read({"--rollout-share", "0.1", "--rollback-ms", "0"}).ok());
        CHECK(read({"--rollback-ms", "999"}).ok());
    }
    SUBCASE("name the choice of endpoints, which is by the lowest load unless they say otherwise")
    {
        CHECK(read({})->fleet.placement == placement_mode::least_loaded);
        CHECK(read({"--placement", "even"})->fleet.placement == placement_mode::even);
        CHECK(read({"--placement", "reported"})->fleet.placement == placement_mode::reported);
        CHECK(read({"--placement", "plain"})->fleet.placement == placement_mode::plain);
        const auto it = read({"--placement", "most-loaded"});
        CHECK(it.status().message().find("placement 'most-loaded'") != std::string::npos);
    }
    SUBCASE("switch admission on only where a deployment asks for it (guards against requests that "
            "are held back in any other one)")
    {
        const auto enabled = [](const char* text)
        {
            const auto it = read({"--admission", text});
            return it.ok() && it->admission.enabled;
        };
        CHECK_FALSE(read({})->admission.enabled);
        CHECK_FALSE(enabled("off"));
        CHECK(enabled("queue"));

        SUBCASE("by a word in a list")
        {
            CHECK(enabled("pressure"));
            CHECK(enabled("takeover,pressure"));
            CHECK(enabled("takeover, pressure"));
            CHECK(enabled(R"(["takeover", "pressure"])"));
            CHECK(read({"--admission", R"(["takeover"])"})->admission.enabled == false);
            CHECK(read({"--admission", "[]"})->admission.enabled == false);
            CHECK(read({"--admission", "pressureless,low-pressure"})->admission.enabled == false);
        }
        SUBCASE("and are refused if they are no list")
        {
            for (const auto* it : {"[\"pressure\"", "pressure,,", "two words", "[1]"})
            {
                CHECK_FALSE(read({"--admission", it}).ok());
            }
        }
        SUBCASE("and not by an empty value in the environment")
        {
            ::setenv("MANGOVANE_ADMISSION", "", 1);
            const auto it = read({});
            ::unsetenv("MANGOVANE_ADMISSION");
            REQUIRE(it.ok());
            CHECK_FALSE(it->admission.enabled);
        }
    }
    SUBCASE("that are invalid are all listed with their values")
    {
        const auto it = read({"--threads", "0", "--load-factor", "0.5", "--seeds", "nowhere",
                              "--metrics-listen", "x", "--retry-ratio", "nan"});
        REQUIRE_FALSE(it.ok());
        const std::string text{it.status().message()};
        for (const auto* name : {"threads '0'", "load-factor '0.5'", "seeds 'nowhere'",
                                 "metrics-listen 'x'", "retry-ratio 'nan'"})
        {
            CAPTURE(name);
            CHECK(text.find(name) != std::string::npos);
        }
    }
    SUBCASE("require a cluster key of the minimum length")
    {
        const char* args[]{"router"};
        ::setenv("MANGOVANE_CLUSTER_KEY", "short", 1);
        const auto it = read_forward_router_options(1, args);
        CHECK(it.status().message().find("MANGOVANE_CLUSTER_KEY") != std::string::npos);
    }
}
