// Tests of the watch of a table. A change that falls between two reads would be missed for good,
// and requests would go on reaching an endpoint that has left.
#include "mangovane/store/table_watch.hpp"

#include <map>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

/// A table that is listed in pages of two rows; `between_pages` runs after the first page.
class paged_table final : public table_reader
{
public:
    void list(const std::string&, const std::string& from, time_point, rows_handler done) override
    {
        store_rows result;
        result.revision = revision;
        for (auto it = rows.lower_bound(from); it != rows.end() && !result.more; ++it)
        {
            result.rows.push_back({it->first, "", it->second, false});
            result.more = result.rows.size() == page_rows && std::next(it) != rows.end();
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

    static constexpr std::size_t page_rows = 2;

    std::map<std::string, std::uint64_t> rows{{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}};
    std::vector<store_row> removals;
    std::uint64_t revision{4};
    std::function<void()> between_pages;
    std::vector<std::uint64_t> changes_since;
};

/// Holds the table as its events describe it.
class table_copy final : public table_sink
{
public:
    void on_snapshot(const std::vector<store_row>& list, std::uint64_t revision) override
    {
        keys.clear();
        for (const auto& it : list)
        {
            keys.insert({it.key, it.revision});
        }
        snapshot_revision = revision;
    }
    void on_changes(const std::vector<store_row>& list, std::uint64_t) override
    {
        for (const auto& it : list)
        {
            keys.erase(it.key);
        }
        changed = true;
    }
    void on_response() override {}
    void on_failure(const absl::Status&) override {}
    std::uint64_t resume_revision() override { return 0; }

    std::map<std::string, std::uint64_t> keys;
    std::uint64_t snapshot_revision{0};
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
        CHECK(copy.keys == table.rows);
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
        CHECK(copy.keys == std::map<std::string, std::uint64_t>{{"b", 2}, {"c", 3}, {"d", 4}});
    }
    watch->stop();
}
