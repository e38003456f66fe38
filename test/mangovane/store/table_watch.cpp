// Tests of the watch of a table. A change that falls between two reads would be missed for good,
// and requests would go on reaching an endpoint that has left.
#include "mangovane/store/table_watch.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

/// A table that is listed in pages; `between_pages` runs after the first page. Rows whose key is
/// in `unreadable` take a place in a page, but cannot be read.
class paged_table final : public table_reader
{
public:
    void list(const std::string&, const std::string& from, time_point, rows_handler done) override
    {
        ++lists;
        store_rows result;
        result.revision = revision;
        std::size_t n = 0;
        for (auto it = rows.lower_bound(from); it != rows.end() && !result.more; ++it)
        {
            if (!unreadable.contains(it->first))
            {
                result.rows.push_back({it->first, "", it->second, false});
            }
            result.more = ++n == page_rows && std::next(it) != rows.end();
        }
        if (from.empty() && between_pages)
        {
            between_pages();
        }
        done(std::move(result));
    }

    void changes(const std::string&,
                 std::uint64_t since,
                 milliseconds,
                 time_point,
                 rows_handler done) override
    {
        changes_since.push_back(since);
        store_rows result;
        result.revision = revision;
        for (const auto& it : removals)
        {
            if (it.revision > since)
            {
                result.rows.push_back(it);
            }
        }
        done(std::move(result));
    }

    void remove(const std::string& key)
    {
        rows.erase(key);
        removals.push_back({key, "", ++revision, true});
    }

    std::size_t page_rows{2};
    std::map<std::string, std::uint64_t> rows{{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}};
    std::set<std::string> unreadable;
    std::vector<store_row> removals;
    std::uint64_t revision{4};
    std::size_t lists{0};
    std::function<void()> between_pages;
    std::vector<std::uint64_t> changes_since;
};

/// Holds the table as its events describe it.
class table_copy final : public table_sink
{
public:
    void on_snapshot(const std::vector<store_row>& list, store_revision revision) override
    {
        keys.clear();
        for (const auto& it : list)
        {
            keys.insert({it.key, it.revision});
        }
        snapshot_revision = revision;
        ++snapshots;
    }
    void on_changes(const std::vector<store_row>& list, store_revision) override
    {
        for (const auto& it : list)
        {
            keys.erase(it.key);
            if (!it.removed)
            {
                keys.insert({it.key, it.revision});
            }
        }
        changed = true;
    }
    void on_incomplete_list(const std::string& last_key) override { incomplete_after = last_key; }
    void on_response() override {}
    void on_failure(const absl::Status&) override {}
    store_revision resume_revision() override { return resume_at; }

    std::map<std::string, store_revision> keys;
    store_revision snapshot_revision;
    store_revision resume_at;
    std::size_t snapshots{0};
    std::optional<std::string> incomplete_after; ///< Last key of a list without an end.
    bool changed{false};
};

} // namespace

TEST_CASE("a table of several pages")
{
    boost::asio::io_context io;
    paged_table table;
    table_copy copy;
    const auto watch = std::make_shared<table_watch>(io, table, "servers", milliseconds{10}, copy);

    SUBCASE("that does not change is read as a whole")
    {
        watch->start();
        io.run_for(milliseconds{200});
        CHECK(copy.keys.size() == 4);
        CHECK(copy.snapshot_revision == 4);
    }
    SUBCASE("is read as a whole although the watch is stopped after the first page")
    {
        // A fleet that starts at once: another instance becomes the reader meanwhile, but it may
        // take seconds to distribute the list.
        table.between_pages = [&] { watch->stop(); };
        watch->start();
        io.run_for(milliseconds{200});
        const std::map<std::string, store_revision> all{table.rows.begin(), table.rows.end()};
        CHECK(copy.keys == all);
        CHECK(table.changes_since.empty());
    }
    SUBCASE("from which a row of an earlier page is removed meanwhile: the removal is not missed")
    {
        // Changes were read from the revision of the last page on, after the removal.
        table.between_pages = [&] { table.remove("a"); };
        watch->start();
        for (int n = 0; n != 500 && !copy.changed; ++n)
        {
            io.run_for(milliseconds{10});
        }
        CHECK(copy.snapshot_revision == 4);
        CHECK(copy.keys == std::map<std::string, store_revision>{{"b", 2}, {"c", 3}, {"d", 4}});
    }
    SUBCASE("whose first page ends with a row that cannot be read is read as a whole")
    {
        table.page_rows = 3;
        table.unreadable = {"c"};
        watch->start();
        io.run_for(milliseconds{200});
        CHECK(copy.keys == std::map<std::string, store_revision>{{"a", 1}, {"b", 2}, {"d", 4}});
        CHECK(copy.snapshots == 1);
        CHECK_FALSE(copy.incomplete_after);
    }
    SUBCASE("that cannot be read beyond a key")
    {
        // The same page was read over and over, and a page without a readable row was taken for
        // the end of the list, so that the rows after it were taken for removed.
        const auto run = [&]
        {
            watch->start();
            for (int n = 0; n != 500 && table.changes_since.empty(); ++n)
            {
                io.run_for(milliseconds{10});
            }
            REQUIRE_FALSE(table.changes_since.empty());
            CHECK(copy.snapshots == 0);
            CHECK(table.changes_since.front() == 4);
        };

        SUBCASE("since only that row is in the page: has its rows before in force")
        {
            table.unreadable = {"b"};
            run();
            CHECK(copy.keys == std::map<std::string, store_revision>{{"a", 1}});
            CHECK(copy.incomplete_after == "a");
            CHECK(table.lists == 2);
        }
        SUBCASE("since no row of its first page can be read: keeps what is known")
        {
            copy.keys = {{"d", 4}};
            table.unreadable = {"a", "b"};
            run();
            CHECK(copy.keys == std::map<std::string, store_revision>{{"d", 4}});
            CHECK(copy.incomplete_after == "");
            CHECK(table.lists == 1);
        }
    }
    watch->stop();
}

namespace
{

/// A store whose answers take a time, and are lost if the caller does not wait for so long.
class slow_store final : public table_reader
{
public:
    slow_store(boost::asio::io_context& context, milliseconds delay) : io_{context}, delay_{delay}
    {}

    void
    list(const std::string&, const std::string&, time_point deadline, rows_handler done) override
    {
        ++lists;
        answer(deadline, std::move(done));
    }
    void changes(const std::string&,
                 std::uint64_t,
                 milliseconds wait,
                 time_point deadline,
                 rows_handler done) override
    {
        answer(deadline - wait,
               [this, done = std::move(done)](absl::StatusOr<store_rows> rows)
               {
                   changes_answered += rows.ok() ? 1 : 0;
                   done(std::move(rows));
               });
    }

    std::size_t lists{0};
    std::size_t changes_answered{0};

private:
    void answer(time_point deadline, rows_handler done)
    {
        const auto answered_at = clock::now() + delay_;
        const auto timer = std::make_shared<boost::asio::steady_timer>(
            io_, std::min<time_point>(answered_at, deadline));
        timer->async_wait(
            [timer, done = std::move(done), late = answered_at > deadline](auto)
            {
                store_rows rows;
                rows.revision = store_revision{0, 4};
                done(late ? absl::StatusOr<store_rows>{absl::DeadlineExceededError("late")}
                          : std::move(rows));
            });
    }

    boost::asio::io_context& io_;
    const milliseconds delay_;
};

} // namespace

TEST_CASE("a table of a store that answers late")
{
    // With a fixed time for an answer, an instance that starts would never have read the table.
    boost::asio::io_context io;
    slow_store store{io, milliseconds{1300}};
    table_copy copy;
    const auto watch = std::make_shared<table_watch>(io, store, "servers", milliseconds{10}, copy);
    const auto run_until = [&](const auto& condition)
    {
        watch->start();
        for (int n = 0; n != 1000 && !condition(); ++n)
        {
            io.run_for(milliseconds{10});
        }
    };

    SUBCASE("is read by a call that waits for longer than the first one")
    {
        run_until([&] { return copy.snapshots == 1; });
        CHECK(copy.snapshots == 1);
        CHECK(store.lists == 2);
    }
    SUBCASE("is watched for changes, too")
    {
        run_until([&] { return store.changes_answered != 0; });
        CHECK(store.changes_answered != 0);
    }
    watch->stop();
}

namespace
{

/// A store that answers with a list of given eras and revisions, one after another; the last one
/// is repeated.
class scripted_store final : public table_reader
{
public:
    void list(const std::string&, const std::string&, time_point, rows_handler done) override
    {
        ++lists;
        done(next({}));
    }
    void changes(const std::string&,
                 std::uint64_t since,
                 milliseconds,
                 time_point,
                 rows_handler done) override
    {
        last_since = since;
        done(gone ? absl::StatusOr<store_rows>{absl::OutOfRangeError("410")} : next(since));
        gone = false;
    }

    std::vector<store_revision> answers;
    std::size_t lists{0};
    std::uint64_t last_since{0};
    bool gone{false}; ///< The next read of changes gets 410.

private:
    store_rows next(std::uint64_t since)
    {
        const auto at = answers[std::min(answered_++, answers.size() - 1)];
        store_rows result;
        result.revision = at;
        if (at.number > since)
        {
            result.rows = {{"a", "", at, false}};
        }
        return result;
    }

    std::size_t answered_{0};
};

} // namespace

TEST_CASE("a table whose store comes back from an older copy")
{
    // Rows after a number of the era before are only a part of what changed: the copy lacks some of
    // the rows that were read, and others have their former values.
    boost::asio::io_context io;
    scripted_store store;
    table_copy copy;
    const auto watch = std::make_shared<table_watch>(io, store, "servers", milliseconds{10}, copy);
    const auto run = [&]
    {
        watch->start();
        io.run_for(milliseconds{2500});
        watch->stop();
        io.restart();
        io.run_for(milliseconds{50});
    };

    SUBCASE("is read as a whole again, also if the store has passed the number that was read")
    {
        store.answers = {{0, 16}, {1, 40}};
        run();
        CHECK(store.lists == 2);
        CHECK(copy.snapshot_revision == store_revision{1, 40});
        CHECK_FALSE(copy.changed);
    }
    SUBCASE("is read as a whole again after 410")
    {
        store.answers = {{0, 51}, {1, 16}};
        store.gone = true;
        run();
        CHECK(copy.snapshot_revision == store_revision{1, 16});
    }
    SUBCASE("does not return to the era before by a response that is late")
    {
        store.answers = {{1, 16}, {0, 51}, {0, 52}, {1, 17}};
        run();
        CHECK(copy.snapshots == 1);
        CHECK(copy.snapshot_revision == store_revision{1, 16});
        CHECK(copy.changed);
        CHECK(store.last_since == 17);
    }
    SUBCASE("is read again when a second era follows at once")
    {
        store.answers = {{0, 51}, {1, 16}, {2, 9}, {2, 9}};
        run();
        CHECK(copy.snapshot_revision == store_revision{2, 9});
    }
    SUBCASE("is not taken from a store of an earlier era than other instances have read")
    {
        copy.resume_at = {2, 9};
        store.answers = {{1, 30}, {1, 31}, {2, 9}};
        run();
        CHECK(copy.snapshots == 0);
        CHECK_FALSE(copy.changed);
        CHECK(store.last_since == 9);
    }
}
