// Tests of the quarantine of prompt parts: instances that exchange what they know. Guards against a
// part that crashes one endpoint after the other, and against refusing the sound parts and requests
// that were in progress beside it.
#include "mangovane/quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{1000}};
using parts = std::vector<prompt_part>;

const parts crashing{{1, 500}, {666, 4000}};

/// Instances whose news and summaries are delivered by `exchange`.
struct quarantine_fleet
{
    explicit quarantine_fleet(std::size_t count)
    {
        for (std::size_t n = 0; n != count; ++n)
        {
            instances.push_back(std::make_unique<prompt_quarantine>(n + 1));
        }
    }

    void broadcast(std::size_t from, const quarantine_update& update)
    {
        for (std::size_t n = 0; n != instances.size(); ++n)
        {
            if (n != from && !update.empty())
            {
                ++messages;
                (void)instances[n]->on_update(update, now);
            }
        }
    }

    /// Lets time pass in steps of a tick.
    void run(milliseconds time)
    {
        for (const auto until = now + time; now < until; now += milliseconds{100})
        {
            for (std::size_t n = 0; n != instances.size(); ++n)
            {
                broadcast(n, instances[n]->take_news(now));
            }
        }
    }

    [[nodiscard]] std::size_t refusing(const parts& prompt)
    {
        return static_cast<std::size_t>(
            std::count_if(instances.begin(), instances.end(),
                          [&](const auto& it) { return it->check({prompt}, now).has_value(); }));
    }

    std::vector<std::unique_ptr<prompt_quarantine>> instances;
    std::size_t messages{0};
    time_point now{start};
};

} // namespace

TEST_CASE("a part that crashes endpoints")
{
    quarantine_fleet fleet{4};
    const auto& one = fleet.instances[0];

    SUBCASE("is refused at all instances though none of them has seen more than one crash")
    {
        for (std::size_t n = 0; n != 3; ++n)
        {
            CHECK(fleet.refusing(crashing) == 0);
            (void)fleet.instances[n]->on_crash(100 + n, {crashing}, fleet.now);
            fleet.run(milliseconds{600});
        }
        CHECK(fleet.refusing(crashing) == 4);

        SUBCASE("while sound requests with its other parts are not, though none was answered yet")
        {
            CHECK(fleet.refusing({{1, 500}, {8, 4000}}) == 0);

            SUBCASE("until one of them crashes an endpoint too: then the part they share is blamed")
            {
                const parts another{{1, 500}, {9, 4000}};
                (void)one->on_crash(300, {another}, fleet.now);
                fleet.run(milliseconds{200});
                CHECK(fleet.refusing({{1, 500}, {8, 4000}}) == 4);
                CHECK(fleet.refusing({{2, 500}, {666, 4000}}) == 0);
            }
        }
        SUBCASE("and so are not the parts of requests that were in progress beside it")
        {
            const parts beside{{7, 500}, {70, 4000}};
            for (std::size_t n = 0; n != 3; ++n)
            {
                (void)fleet.instances[n]->on_crash(100 + n, {beside}, fleet.now);
                fleet.run(milliseconds{200});
            }
            CHECK(fleet.refusing(beside) == 4);
            (void)one->on_crash(104, {crashing}, fleet.now);
            fleet.run(milliseconds{200});
            CHECK(fleet.refusing(beside) == 0);
            CHECK(fleet.refusing(crashing) == 4);
        }
        SUBCASE("as long as requests with it come")
        {
            for (int n = 0; n != 30; ++n)
            {
                fleet.run(seconds{20});
                CHECK(one->check({crashing}, fleet.now));
            }
            fleet.run(prompt_quarantine::refusal_hold + prompt_quarantine::evidence_ttl);
            CHECK_FALSE(one->check({crashing}, fleet.now));
            CHECK(one->size() == 0);
        }
        SUBCASE("until an operator lifts that at one instance, and again after further crashes")
        {
            CHECK(fleet.instances[2]->lift(666, fleet.now));
            fleet.run(milliseconds{200});
            CHECK(fleet.refusing(crashing) == 0);
            for (std::size_t n = 0; n != 3; ++n)
            {
                (void)one->on_crash(200 + n, {crashing}, fleet.now);
                fleet.run(milliseconds{200});
            }
            CHECK(fleet.refusing(crashing) == 4);
        }
        SUBCASE("at an instance that starts later and receives a summary")
        {
            prompt_quarantine started{9};
            auto summary = one->summary(fleet.now);
            CHECK(summary.is_summary);
            (void)started.on_update(summary, fleet.now);
            CHECK(started.check({crashing}, fleet.now));
        }
        SUBCASE("and is named to operators with the age of the evidence")
        {
            const auto listed = one->refused(fleet.now);
            REQUIRE(listed.size() == 1);
            CHECK(listed.front().verdict.part == 666);
            CHECK(listed.front().verdict.first_crash == start);
            CHECK(listed.front().verdict.crashes == 3);
            const auto events = one->take_events();
            CHECK(std::any_of(events.begin(), events.end(),
                              [](const auto& it) {
                                  return it.change == quarantine_change::refused && it.part == 666;
                              }));
        }
    }
    SUBCASE("lets a request under which an endpoint crashed be sent again only once")
    {
        CHECK(one->on_crash(100, {crashing}, fleet.now));
        fleet.run(milliseconds{300});
        CHECK_FALSE(fleet.instances[1]->on_crash(101, {crashing}, fleet.now));
    }
}

TEST_CASE("a sound part that was in progress when endpoints crashed")
{
    quarantine_fleet fleet{4};
    const parts sound{{1, 500}, {8, 4000}};

    SUBCASE("is not refused if it is answered between the crashes, at whichever instance")
    {
        for (std::size_t n = 0; n != 8; ++n)
        {
            (void)fleet.instances[n % 4]->on_crash(100 + n, {sound}, fleet.now);
            fleet.run(milliseconds{200});
            fleet.instances[(n + 1) % 4]->on_survived({sound}, fleet.now);
            fleet.run(milliseconds{200});
            CHECK(fleet.refusing(sound) == 0);
        }
    }
    SUBCASE("is cleared by an answer that came before the evidence did")
    {
        const auto crashed_at = fleet.now;
        fleet.now += milliseconds{50};
        fleet.instances[1]->on_survived({sound}, fleet.now);
        (void)fleet.instances[0]->on_crash(100, {sound}, crashed_at);
        fleet.run(milliseconds{600});
        for (const auto& it : fleet.instances)
        {
            CHECK(it->summary(fleet.now).empty());
        }
    }
    SUBCASE("is told to the others only if it is not answered soon")
    {
        fleet.instances[0]->on_survived({sound}, fleet.now);
        (void)fleet.instances[0]->on_crash(100, {sound}, fleet.now);
        fleet.now += milliseconds{50};
        fleet.instances[0]->on_survived({sound}, fleet.now);
        const auto news = fleet.instances[0]->take_news(fleet.now + seconds{1});
        CHECK(news.crashes.empty());
    }
    SUBCASE("is cleared at an instance that holds old evidence and sends it in a summary")
    {
        (void)fleet.instances[0]->on_crash(100, {sound}, fleet.now);
        const auto stale = fleet.instances[0]->summary(fleet.now);
        fleet.now += milliseconds{50};
        fleet.instances[1]->on_survived({sound}, fleet.now);
        const auto response = fleet.instances[1]->on_update(stale, fleet.now);
        CHECK_FALSE(response.answers.empty());
        (void)fleet.instances[0]->on_update(response, fleet.now);
        CHECK(fleet.instances[0]->summary(fleet.now).empty());
    }
}

TEST_CASE("a request that crashes endpoints whenever it comes, with parts that sound ones share")
{
    // Its parts were cleared by the sound requests, and what tells it from them was not recorded:
    // the same request was sent to 14 endpoints.
    quarantine_fleet fleet{4};
    const parts shared{{1, 500}, {8, 4000}};
    const prompt_identity deadly{shared, 666};
    const prompt_identity sound{shared, 77};
    const auto refused = [&](const prompt_identity& prompt)
    {
        return std::count_if(fleet.instances.begin(), fleet.instances.end(),
                             [&](const auto& it)
                             { return it->check(prompt, fleet.now).has_value(); });
    };
    for (std::size_t n = 0; n != 3; ++n)
    {
        CHECK(refused(deadly) == 0);
        (void)fleet.instances[n]->on_crash(100 + n, deadly, fleet.now);
        fleet.run(milliseconds{200});
        fleet.instances[n + 1]->on_survived(sound, fleet.now);
        fleet.run(milliseconds{600});
    }

    SUBCASE("is refused at all instances, and the sound ones are not")
    {
        CHECK(refused(deadly) == 4);
        CHECK(refused(sound) == 0);
        CHECK(refused({shared, 78}) == 0);
    }
    SUBCASE("is served again once an endpoint has survived it")
    {
        fleet.instances[3]->on_survived(deadly, fleet.now);
        fleet.run(milliseconds{600});
        CHECK(refused(deadly) == 0);
    }
    SUBCASE("takes no sound request with it that was in progress beside it, as often as that comes")
    {
        for (std::size_t n = 0; n != 3; ++n)
        {
            (void)fleet.instances[n]->on_crash(200 + n, sound, fleet.now);
            (void)fleet.instances[n]->on_crash(200 + n, deadly, fleet.now);
            fleet.run(milliseconds{200});
        }
        CHECK(refused(sound) == 0);
        CHECK(refused(deadly) == 4);
    }
}

TEST_CASE("the quarantine in a large fleet")
{
    SUBCASE("announces an answer that many instances know of a few times only")
    {
        quarantine_fleet fleet{300};
        const parts sound{{1, 500}};
        (void)fleet.instances[0]->on_crash(100, {sound}, fleet.now);
        const auto news = fleet.instances[0]->take_news(fleet.now);
        fleet.now += milliseconds{20};
        for (std::size_t n = 1; n != 300; ++n)
        {
            fleet.instances[n]->on_survived({sound}, fleet.now);
        }
        fleet.broadcast(0, news);
        fleet.messages = 0;
        // The instances' ticks are spread over the period of a tick.
        for (int step = 0; step != 400; ++step)
        {
            fleet.now += milliseconds{1};
            for (auto n = static_cast<std::size_t>(step % 100); n < 300; n += 100)
            {
                fleet.broadcast(n, fleet.instances[n]->take_news(fleet.now));
            }
        }
        CHECK(fleet.messages <= 3 * 299);
        CHECK(fleet.refusing(sound) == 0);
    }
    SUBCASE("keeps no record of prompts that come once and are answered")
    {
        prompt_quarantine one{1};
        const parts shared{{1, 500}};
        for (std::uint64_t n = 1; n != 20'000; ++n)
        {
            one.on_survived({shared, n}, start);
        }
        CHECK(one.size() == 0);
    }
    SUBCASE("keeps a bounded number of records, and those that are refused")
    {
        prompt_quarantine one{1};
        auto now = start;
        for (std::uint64_t n = 0; n != 3; ++n)
        {
            (void)one.on_crash(n + 1, {crashing}, now);
            now += milliseconds{500};
        }
        for (std::uint64_t n = 0; n != 20'000; ++n)
        {
            const parts once{{1000 + n, 10}};
            (void)one.on_crash(100 + n, {once}, now);
        }
        CHECK(one.size() <= prompt_quarantine::capacity);
        CHECK(one.check({crashing}, now));
        const auto summary = one.summary(now);
        CHECK(summary.crashes.size() <= prompt_quarantine::max_summary_crashes);
        CHECK(std::count_if(summary.crashes.begin(), summary.crashes.end(),
                            [](const auto& it) { return it.part == 666; }) == 3);
        CHECK(one.take_events().size() <= prompt_quarantine::max_events);
    }
}
