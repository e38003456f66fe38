// Tests of the watcher: an instance gets the newest settings version from the platform or from
// peers, within the read rate that the platform allows.
#include "mangovane/settings/watcher.hpp"

#include <algorithm>

#include <doctest/doctest.h>

#include "fake_platform.hpp"
#include "mangovane/core/hash.hpp"

using namespace mangovane;

namespace
{

const std::string small_text = R"({"services": {}, "nodes": [{"path": "/", "settings": {}}]})";

struct watch_fixture
{
    watch_fixture()
        : watcher{std::make_shared<settings_watcher>(
              store, registry, [this](settings_ptr it) { return registry.adopt(std::move(it)); })}
    {}

    void publish(const std::string& id, const std::string& text = small_text)
    {
        store.apply({id, "ada", text, std::nullopt}, time_point{}, [](const apply_outcome&) {});
        platform.run();
    }

    /// Advances the time in steps of 50 ms.
    void advance(milliseconds time, instance_rank position = {})
    {
        for (milliseconds n{0}; n < time; n += milliseconds{50})
        {
            since_epoch += milliseconds{50};
            watcher->tick(time_point{since_epoch}, since_epoch, position);
            platform.run();
        }
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return registry.current() ? registry.current()->stamp.version.number : 0;
    }

    [[nodiscard]] time_point now() const { return time_point{since_epoch}; }

    milliseconds since_epoch{1'000'000};
    fake_platform platform;
    settings_store store{platform, platform};
    settings_registry registry;
    std::shared_ptr<settings_watcher> watcher;
};

settings_content content_of(std::uint64_t version, const std::string& text)
{
    return {{version, hash_bytes(text)}, text};
}

} // namespace

TEST_CASE("an instance polls the head row on the platform")
{
    watch_fixture fix;
    SUBCASE("it is not ready before the first version")
    {
        fix.advance(milliseconds{1000});
        CHECK_FALSE(fix.watcher->may_become_ready());
    }
    SUBCASE("a new version is active after at most one poll interval")
    {
        fix.publish("c1");
        fix.advance(milliseconds{550});
        CHECK(fix.version() == 1);
        CHECK(fix.registry.current()->author == "ada");
        CHECK(fix.watcher->may_become_ready());
        fix.publish("c2");
        fix.advance(milliseconds{550});
        CHECK(fix.version() == 2);
    }
    SUBCASE("an object that does not match its digest is rejected; instances could differ")
    {
        fix.publish("c1");
        fix.platform.objects["settings/1-c1"] += " ";
        fix.advance(milliseconds{2000});
        CHECK(fix.version() == 0);
        CHECK_FALSE(fix.watcher->last_error().empty());
        CHECK_FALSE(fix.watcher->may_become_ready());
    }
}

TEST_CASE("all instances together stay within the platform's read rate")
{
    SUBCASE("one instance reads at most twice a second")
    {
        watch_fixture fix;
        fix.advance(milliseconds{10000});
        CHECK(fix.platform.reads <= 20);
        CHECK(fix.platform.reads >= 18);
    }
    SUBCASE("360 instances read at most 20 times a second")
    {
        std::vector<int> per_second(36, 0);
        for (std::size_t rank = 0; rank != 360; ++rank)
        {
            watch_fixture fix;
            fix.advance(milliseconds{50}, {rank, 360}); // The first read is immediate.
            for (auto& it : per_second)
            {
                const auto before = fix.platform.reads;
                fix.advance(milliseconds{1000}, {rank, 360});
                it += fix.platform.reads - before;
            }
        }
        for (const auto it : per_second)
        {
            CHECK(it <= 20);
        }
    }
    SUBCASE("a jump of the wall clock causes no burst of reads")
    {
        watch_fixture fix;
        for (int n = 0; n != 20; ++n)
        {
            fix.watcher->tick(fix.now() + milliseconds{n}, milliseconds{n * 5'000'000}, {});
            fix.platform.run();
        }
        CHECK(fix.platform.reads == 1);
    }
}

TEST_CASE("an instance gets a version from a peer")
{
    watch_fixture fix;
    const auto peer = instance_id::of("r2");
    SUBCASE("an announced version is requested from the peer while the platform is down")
    {
        fix.platform.down = true;
        const auto content = content_of(4, small_text);
        const auto query = fix.watcher->on_announced(peer, content.stamp, fix.now());
        REQUIRE(query);
        CHECK(query->to == peer);
        CHECK_FALSE(fix.watcher->on_announced(peer, content.stamp, fix.now()));
        fix.watcher->on_content(content);
        CHECK(fix.version() == 4);

        SUBCASE("the instance may become ready once a read of the platform has failed")
        {
            CHECK_FALSE(fix.watcher->may_become_ready());
            fix.advance(milliseconds{500});
            CHECK(fix.watcher->may_become_ready());
        }
        SUBCASE("a newer version that was announced but not received keeps it from becoming ready")
        {
            (void)fix.watcher->on_announced(peer, {5, 1}, fix.now());
            fix.advance(milliseconds{500});
            CHECK_FALSE(fix.watcher->may_become_ready());
        }
        SUBCASE("an older text does not replace it")
        {
            fix.watcher->on_content(content_of(3, small_text));
            CHECK(fix.version() == 4);
        }
    }
    SUBCASE("a query is answered only if the peer lacks the text and the text fits a frame")
    {
        fix.watcher->on_content(content_of(2, small_text));
        CHECK(fix.watcher->on_query({{1, 0}}) == content_of(2, small_text));
        CHECK_FALSE(fix.watcher->on_query({{2, 0}}));
        fix.watcher->on_content(content_of(3, small_text + std::string(max_peer_text_bytes, ' ')));
        CHECK(fix.version() == 3);
        CHECK_FALSE(fix.watcher->on_query({{1, 0}}));
    }
    SUBCASE("a text with a wrong digest is rejected")
    {
        auto content = content_of(2, small_text);
        content.text += " ";
        fix.watcher->on_content(content);
        CHECK(fix.version() == 0);
    }
    SUBCASE("repeated announcements without delivery do not delay the fetch from the platform")
    {
        fix.publish("c1");
        fix.advance(milliseconds{50}, {0, 360});
        fix.publish("c2");
        for (int n = 0; n != 40; ++n)
        {
            (void)fix.watcher->on_announced(peer, {2, hash_bytes(small_text)}, fix.now());
            fix.advance(milliseconds{50}, {0, 360});
        }
        CHECK(fix.version() == 2);
    }
    SUBCASE("instances that receive an announcement together do not read the platform together")
    {
        std::vector<int> reads(80, 0); // In each step of 50 ms.
        for (std::size_t rank = 0; rank != 360; ++rank)
        {
            watch_fixture one;
            one.publish("c1");
            one.advance(milliseconds{50}, {rank, 360});
            one.publish("c2");
            (void)one.watcher->on_announced(peer, {2, hash_bytes(small_text)}, one.now());
            for (auto& it : reads)
            {
                const auto before = one.platform.reads;
                one.advance(milliseconds{50}, {rank, 360});
                it += one.platform.reads - before;
            }
            CHECK(one.version() == 2);
        }
        // A tenth of the platform's 2,000 reads per second, and one read of the head row.
        CHECK(*std::max_element(reads.begin(), reads.end()) <= 10 + 1);
    }
    SUBCASE("if the peer does not deliver, the text is fetched before the next poll of the head")
    {
        for (int n = 1; n != 3; ++n)
        {
            fix.publish("c" + std::to_string(n));
        }
        fix.advance(milliseconds{50}, {7, 360});
        CHECK(fix.version() == 2);
        fix.publish("c3");
        (void)fix.watcher->on_announced(peer, {3, hash_bytes(small_text)}, fix.now());
        fix.advance(milliseconds{700}, {7, 360});
        CHECK(fix.version() == 3);
    }
}
