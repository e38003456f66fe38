// Requests of one instance during a rollout, from the choice of an endpoint to the end of the
// response. Guards against requests at the wrong version and against attempts that stay counted,
// which would keep a rollout from being completed.
#include <set>

#include <doctest/doctest.h>

#include "mangovane/forward/forward_core.hpp"
#include "mangovane/forward/forward_fixture.hpp"
#include "mangovane/forward/forward_flow.hpp"

using namespace mangovane;
using test::start;

namespace
{

const rollout_policy policy{0.1, 50, milliseconds{5000}};

endpoint_change
entry_of(const std::string& name, const std::string& version, std::uint64_t revision)
{
    auto result = test::make_entry(name, test::plain_service, "ikeja-a", revision);
    result.info->version = version;
    return result;
}

std::shared_ptr<settings_snapshot> settings_with_order(std::uint64_t version)
{
    auto result = test::make_settings(version);
    result->rollouts = {{test::plain_service, "ventanilla", "v2", {0, 4}, milliseconds{12'000}}};
    return result;
}

/// An instance with one endpoint of each version and nobody else.
struct lone_instance
{
    explicit lone_instance(const rollout_policy& rollouts)
        : core{options_with(rollouts), sink,
               [](const std::string&, store_revision version)
               { return absl::StatusOr<settings_ptr>{test::make_settings(version.number)}; },
               start}
    {
        core.adopt_settings(test::make_settings(1), start);
        core.catalog().replace({entry_of("old", "v1", 1)}, 1, start);
        core.refresh(start);
        core.catalog().replace({entry_of("old", "v1", 1), entry_of("new", "v2", 2)}, 2, start);
        core.refresh(start);
    }

    static forward_options options_with(const rollout_policy& rollouts)
    {
        auto result = test::make_options("router", "ikeja-a");
        result.rollouts = rollouts;
        return result;
    }

    forward_flow flow(std::uint64_t n, time_point now = start)
    {
        auto request = test::make_request(core.settings(), "status", 0, now);
        request.request = "request-" + std::to_string(n);
        return {std::move(request), core};
    }

    /// Name of the endpoint of a request that is answered well.
    std::string served_by(std::uint64_t n, time_point now)
    {
        auto it = flow(n, now);
        const auto step = it.start(now);
        const auto* sent = std::get_if<send_step>(&step);
        const auto name = sent == nullptr ? std::string{} : sent->target.name;
        (void)it.on_result(attempt_result::delivered, now + milliseconds{30});
        return name;
    }

    [[nodiscard]] std::uint32_t running_at_old(time_point now)
    {
        return core.rollouts().take_due_reports(true, now).at(0).running_at_current;
    }

    test::recording_sink sink;
    forward_core core;
};

} // namespace

TEST_CASE("without rollouts, endpoints of any version get requests at once")
{
    lone_instance it{rollout_policy{}};
    it.core.adopt_settings(settings_with_order(2), start);
    std::set<std::string> names;
    for (std::uint64_t n = 0; n != 40; ++n)
    {
        names.insert(it.served_by(n, start));
    }
    CHECK(names == std::set<std::string>{"old", "new"});
    it.core.tick(start + seconds{1});
    CHECK(it.sink.of<rollout_report>().empty());
}

TEST_CASE("during a rollout")
{
    lone_instance it{policy};
    CHECK(it.served_by(0, start) == "old");
    auto early = it.flow(1);
    REQUIRE(std::holds_alternative<send_step>(early.start(start)));
    it.core.adopt_settings(settings_with_order(2), start);

    SUBCASE("the new version gets some requests, at most its share")
    {
        int ordered = 0;
        for (std::uint64_t n = 0; n != 2000; ++n)
        {
            ordered += it.served_by(n, start) == "new" ? 1 : 0;
        }
        CHECK(ordered > 0);
        CHECK(ordered <= 200);
    }

    SUBCASE("requests sent before the order are counted until their end")
    {
        CHECK(it.running_at_old(start) == 1);
        SUBCASE("by a response")
        {
            (void)early.on_result(attempt_result::delivered, start);
        }
        SUBCASE("by an internal error")
        {
            early.abandon(start);
        }
        SUBCASE("by a caller that leaves")
        {
            (void)early.on_result(attempt_result::caller_left, start);
        }
        SUBCASE("by a stop")
        {
            early.on_stop();
            (void)early.on_result(attempt_result::stopped, start);
        }
        CHECK(it.running_at_old(start + seconds{1}) == 0);
    }

    SUBCASE("a request does not go to the new version when the old one cannot take it")
    {
        auto step = early.on_result(attempt_result::broken, start);
        CHECK_FALSE(std::holds_alternative<send_step>(step));
        CHECK(it.running_at_old(start) == 0);
    }

    SUBCASE("what an attempt shows of its version is counted")
    {
        const auto answers = [&] { return it.core.rollouts().summaries().at(0).sums; };
        const auto counts = [&]
        {
            it.core.tick(start + seconds{1});
            const auto sums = answers();
            return sums.empty() ? version_answers{} : sums.at(0).current;
        };
        SUBCASE("a good response by its first event, not by its end")
        {
            early.on_event(start + milliseconds{20});
            (void)early.on_result(attempt_result::delivered, start + milliseconds{900});
            const auto bucket = first_byte_histogram::bucket_of(milliseconds{20});
            CHECK(counts().first_bytes.count(bucket) == 1);
        }
        SUBCASE("a failure")
        {
            (void)early.on_result(attempt_result::error, start);
            CHECK(counts().failed == 1);
        }
        SUBCASE("an attempt given up without a byte, as a response at least that late")
        {
            (void)early.on_result(attempt_result::stalled, start + milliseconds{700});
            CHECK(counts().first_bytes.above(17) == 1);
        }
        SUBCASE("but no refusal, broken connection or caller that leaves")
        {
            (void)early.on_result(attempt_result::refused, start);
            CHECK(counts().total() == 0);
        }
    }
}

TEST_CASE("after the verdict of another instance, the new version gets no request")
{
    lone_instance it{policy};
    it.core.adopt_settings(settings_with_order(2), start);
    const rollout_report verdict{test::plain_service,
                                 {0, 4},
                                 "v2",
                                 rollout_state::rolled_back,
                                 time_point::max(),
                                 false,
                                 0,
                                 {},
                                 {}};
    it.core.on_message(instance_id::of("peer"), verdict, start);
    CHECK(it.core.rollouts().running().empty());
    for (std::uint64_t n = 0; n != 100; ++n)
    {
        CHECK(it.served_by(n, start + seconds{9}) == "old");
    }
}
