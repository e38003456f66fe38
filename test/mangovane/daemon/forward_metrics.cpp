// Guards against metrics of rollouts that operators cannot tell apart by service and version, and
// against names that break the exposition format.
#include "mangovane/daemon/forward_metrics.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

rollout_summary summary_of(const std::string& service, const std::string& version)
{
    rollout_summary result;
    result.order.service_name = service;
    result.order.version = version;
    result.share = 0.15;
    result.current = {900, 4, 7};
    result.ordered = {80, 3, 2};
    return result;
}

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("the metrics of rollouts")
{
    SUBCASE("are absent without an order")
    {
        CHECK(rollout_metrics({}).empty());
    }
    SUBCASE("state the share, the state and the responses of both sides")
    {
        auto summary = summary_of("huvo", "v2");
        summary.state = rollout_state::rolled_back;
        const auto text = rollout_metrics({summary});
        const std::string labels = R"(service="huvo",to="v2")";
        CHECK(has_line(text, "mangovane_rollout_share{" + labels + "} 0.15"));
        CHECK(has_line(text, "mangovane_rollout_state{" + labels + R"(,state="running"} 0)"));
        CHECK(has_line(text, "mangovane_rollout_state{" + labels + R"(,state="done"} 0)"));
        CHECK(has_line(text, "mangovane_rollout_state{" + labels + R"(,state="rolled_back"} 1)"));
        const auto responses = [&](const std::string& side, const std::string& result)
        {
            return "mangovane_rollout_responses_total{" + labels + ",side=\"" + side +
                   "\",result=\"" + result + "\"} ";
        };
        CHECK(has_line(text, responses("old", "good") + "900"));
        CHECK(has_line(text, responses("old", "failed") + "4"));
        CHECK(has_line(text, responses("old", "slow") + "7"));
        CHECK(has_line(text, responses("new", "good") + "80"));
        CHECK(has_line(text, responses("new", "failed") + "3"));
        CHECK(has_line(text, responses("new", "slow") + "2"));
    }
    SUBCASE("have ten lines for each service")
    {
        const auto text = rollout_metrics({summary_of("a", "v2"), summary_of("b", "v3")});
        CHECK(std::count(text.begin(), text.end(), '\n') == 20);
    }
    SUBCASE("escape the names that operators choose")
    {
        const auto text = rollout_metrics({summary_of("a", "v\"2\\\n")});
        CHECK(has_line(text, R"(mangovane_rollout_share{service="a",to="v\"2\\\n"} 0.15)"));
    }
}
