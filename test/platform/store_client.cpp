// Guards against a table watch that misses changes after an outage or a lost history, and against a
// lost response that is taken for a result. Runs against a stand-in store.
#include "store_client.hpp"

#include <atomic>
#include <mutex>
#include <thread>

#include <absl/strings/escaping.h>
#include <doctest/doctest.h>

#include "mangovane/store/run_call.hpp"
#include "mangovane/store/table_watch.hpp"
#include "standin/fleet_store.hpp"

using namespace mangovane;
using namespace mangovane::platform;

namespace
{

/// Records the table that a watch reports.
class recording_table final : public table_sink
{
public:
    void on_snapshot(const std::vector<store_row>& list, store_revision revision) override
    {
        const std::lock_guard lock{mutex_};
        rows_.clear();
        apply_rows(list);
        known = revision.number;
        ++tables;
    }
    void on_changes(const std::vector<store_row>& list, store_revision revision) override
    {
        const std::lock_guard lock{mutex_};
        apply_rows(list);
        known = revision.number;
    }
    void on_incomplete_list(const std::string&) override { ++incomplete_lists; }
    void on_response() override { ++responses; }
    void on_failure(const absl::Status&) override { ++failures; }
    store_revision resume_revision() override { return known.load(); }

    [[nodiscard]] std::size_t size()
    {
        const std::lock_guard lock{mutex_};
        return rows_.size();
    }
    [[nodiscard]] std::string value(const std::string& key)
    {
        const std::lock_guard lock{mutex_};
        const auto it = rows_.find(key);
        return it == rows_.end() ? std::string{"none"} : it->second;
    }

    std::atomic<std::uint64_t> known{0};
    std::atomic<int> tables{0};
    std::atomic<int> incomplete_lists{0};
    std::atomic<int> responses{0};
    std::atomic<int> failures{0};

private:
    void apply_rows(const std::vector<store_row>& list)
    {
        for (const auto& it : list)
        {
            if (it.removed)
            {
                rows_.erase(it.key);
            }
            else
            {
                rows_[it.key] = it.value;
            }
        }
    }

    std::mutex mutex_;
    std::map<std::string, std::string> rows_; ///< Guarded by `mutex_`.
};

bool eventually(const std::function<bool()>& condition)
{
    for (int n = 0; n != 1000; ++n)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{10});
    }
    return false;
}

/// A key, numbered so that keys sort by their number.
std::string numbered(const std::string& beginning, std::size_t n)
{
    const auto digits = std::to_string(n);
    return beginning + std::string(4 - digits.size(), '0') + digits;
}

/// Watches the servers' table of a store until it is dropped.
class running_watch
{
public:
    explicit running_watch(const std::string& address) : client_{io_, address}
    {
        watch_->start();
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~running_watch()
    {
        io_.stop();
        thread_.join();
    }
    running_watch(const running_watch&) = delete;
    running_watch& operator=(const running_watch&) = delete;

    recording_table sink;

private:
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        io_.get_executor()};
    store_client client_;
    std::shared_ptr<table_watch> watch_{
        std::make_shared<table_watch>(io_, client_, "servers", milliseconds{600}, sink)};
    std::thread thread_;
};

} // namespace

TEST_CASE("a response of the store is parsed, also with malformed rows")
{
    const auto it = parse_rows_response(
        R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":4},
        {"key":"b","value":"???","ver":5},{"key":7},5,{"key":"c","ver":6,"deleted":true}],
        "more_pages":true,"ver":9,"now_ms":1})",
        "t");
    REQUIRE(it.ok());
    REQUIRE(it->rows.size() == 3);
    CHECK(it->rows[0] == store_row{"a", "node-1", 4, false});
    CHECK(it->rows[1].value.empty());
    CHECK(it->rows[2].removed);
    CHECK(it->more);
    CHECK(it->revision == 9);
    CHECK_FALSE(parse_rows_response("{}", "t").ok());
    CHECK_FALSE(parse_rows_response("", "t").ok());
}

TEST_CASE("a response of the store with a key that is not valid Unicode")
{
    // The whole page was dropped, and with it all rows, as often as it was read.
    const auto read = [](const std::string& key)
    {
        return parse_rows_response(R"({"rows":[{"table":"t","key":"a","value":"","ver":4},
            {"table":"t","key":")" + key +
                                       R"(","value":"","ver":5},
            {"table":"t","key":"z","value":"","ver":6}],"more_pages":false,"ver":9})",
                                   "t");
    };
    SUBCASE("keeps bytes that are not UTF-8, by which the list can be continued")
    {
        const auto it = read("m\xff");
        REQUIRE(it.ok());
        REQUIRE(it->rows.size() == 3);
        CHECK(it->rows[1].key == "m\xff");
    }
    SUBCASE("leaves out the row if it does not state the key in full")
    {
        for (const char* key : {"m\\ud800", "m\\udc00x", "m\\ufffd", "m\xef\xbf\xbd"})
        {
            CAPTURE(key);
            const auto it = read(key);
            REQUIRE(it.ok());
            REQUIRE(it->rows.size() == 2);
            CHECK(it->rows[1].key == "z");
        }
    }
}

TEST_CASE("a late copy of the response to a read of another table is no result")
{
    // Taken for the list of endpoints, it would remove all of them.
    const auto body =
        R"({"rows":[{"table":"op","key":"config","value":"","ver":4}],"more_pages":false,"ver":9})";
    CHECK(parse_rows_response(body, "op").ok());
    CHECK_FALSE(parse_rows_response(body, "servers").ok());
}

TEST_CASE("a table watch")
{
    standin::fleet_store store;
    store.put("servers", "one", "first");
    test::hosted_server host{[&](const standin::request& req, standin::reply& rep)
                             { return store.handle(req, rep); }};
    boost::asio::io_context io{1};
    auto work = boost::asio::make_work_guard(io);
    store_client client{io, host.address()};
    recording_table sink;
    const auto watch =
        std::make_shared<table_watch>(io, client, "servers", milliseconds{600}, sink);
    std::thread thread{[&io] { io.run(); }};
    watch->start();
    REQUIRE(eventually([&] { return sink.value("one") == "first"; }));

    SUBCASE("reports changes and removals of its table only")
    {
        store.put("servers", "two", "second");
        store.put("other", "three", "third");
        CHECK(eventually([&] { return sink.value("two") == "second"; }));
        store.remove("servers", "one");
        CHECK(eventually([&] { return sink.value("one") == "none"; }));
        CHECK(sink.value("three") == "none");
    }
    SUBCASE("reads the whole table again if the store has discarded its history")
    {
        store.set_faults({.no_history = true});
        store.put("servers", "two", "second");
        CHECK(eventually([&] { return sink.value("two") == "second"; }));
        // The pending long poll may have returned the change; the next call finds no history.
        CHECK(eventually([&] { return sink.tables >= 2; }));
    }
    SUBCASE("resumes after an outage from its last revision")
    {
        store.set_faults({.down = true});
        CHECK(eventually([&] { return sink.failures > 1; }));
        store.put("servers", "two", "second");
        store.remove("servers", "one");
        store.set_faults({});
        CHECK(eventually([&] { return sink.value("two") == "second"; }));
        CHECK(sink.value("one") == "none");
        CHECK(sink.tables == 1);
    }
    SUBCASE("times out a call that gets no response, and retries")
    {
        store.set_faults({.silent = true});
        CHECK(eventually([&] { return sink.failures > 0; }));
        store.set_faults({});
        store.put("servers", "two", "second");
        CHECK(eventually([&] { return sink.value("two") == "second"; }));
    }
    SUBCASE("makes no calls while stopped, and resumes from the last known revision")
    {
        watch->stop();
        // A call may still be in flight.
        const auto settled = [&, before = store.calls()]() mutable
        {
            const auto calls = store.calls();
            return std::exchange(before, calls) == calls;
        };
        std::this_thread::sleep_for(milliseconds{1500});
        CHECK(eventually(settled));
        const auto calls = store.calls();
        store.put("servers", "two", "second");
        std::this_thread::sleep_for(milliseconds{300});
        CHECK(store.calls() == calls);
        watch->start();
        CHECK(eventually([&] { return sink.value("two") == "second"; }));
        CHECK(sink.tables == 1);
    }
    SUBCASE("has made one call if it is stopped soon after its first snapshot")
    {
        // When a large fleet starts, each instance reads the store until it knows that another one
        // does; a long poll in this time is completed by the next change, and repeated.
        watch->stop();
        store.put("servers", "two", "second");
        std::this_thread::sleep_for(milliseconds{1500});
        CHECK(store.calls() == 1);
    }
    watch->stop();
    work.reset();
    io.stop();
    thread.join();
}

TEST_CASE("a table of several pages")
{
    // The next page starts from the last key of the page, whoever wrote it. A key that the store
    // reads as another one, or not at all, would keep an instance that starts from any list.
    standin::fleet_store store;
    test::hosted_server host{[&](const standin::request& req, standin::reply& rep)
                             { return store.handle(req, rep); }};
    constexpr std::size_t odd_rows = 700;
    static_assert(odd_rows > standin::fleet_store::max_page_rows);

    for (const auto& odd : {std::string{"&"},
                            std::string{"&part=x"},
                            std::string{"&from="},
                            std::string{"+"},
                            std::string{"#"},
                            std::string{"#a"},
                            std::string{"%"},
                            std::string{"%zz"},
                            std::string{"%41"},
                            std::string{" "},
                            std::string{"\r\nHost: x\r\n"},
                            std::string{"\t"},
                            std::string(1, '\0'),
                            std::string{"\x7f"},
                            std::string{"\""},
                            std::string{"'"},
                            std::string{"\\"},
                            std::string{"/"},
                            std::string{"?"},
                            std::string{"="},
                            std::string{";"},
                            std::string{":"},
                            std::string{"@"},
                            std::string{"\u00e9"},
                            std::string{"\u6f22"},
                            std::string{"\U0001f600"},
                            std::string(180, '&')})
    {
        SUBCASE(("whose rows begin with m" + absl::CHexEscape(odd)).c_str())
        {
            CAPTURE(odd);
            for (std::size_t n = 0; n != odd_rows; ++n)
            {
                store.put("servers", numbered("m" + odd, n), "?");
            }
            store.put("servers", "m5", "between the odd key and what it decodes to");
            store.put("servers", "z", "last");
            running_watch it{host.address()};
            CHECK(eventually([&] { return it.sink.tables != 0; }));
            CHECK(it.sink.size() == odd_rows + 2);
            CHECK(it.sink.value("m5") != "none");
            CHECK(it.sink.value("z") == "last");
            CHECK(it.sink.failures == 0);
        }
    }
    SUBCASE("whose first page ends with a key that is not valid Unicode")
    {
        for (std::size_t n = 1; n != standin::fleet_store::max_page_rows; ++n)
        {
            store.put("servers", numbered("m", n), "?");
        }
        SUBCASE("since it holds an unpaired surrogate: all other rows are read")
        {
            store.put("servers", "ma\xed\xa0\x80", "?");
            store.put("servers", "z", "last");
            running_watch it{host.address()};
            CHECK(eventually([&] { return it.sink.tables != 0; }));
            CHECK(it.sink.size() == standin::fleet_store::max_page_rows);
            CHECK(it.sink.value("z") == "last");
        }
        SUBCASE("since it holds other bytes: all rows are read")
        {
            store.put("servers", "ma\xff", "?");
            store.put("servers", "z", "last");
            running_watch it{host.address()};
            CHECK(eventually([&] { return it.sink.tables != 0; }));
            CHECK(it.sink.size() == standin::fleet_store::max_page_rows + 1);
            CHECK(it.sink.value("z") == "last");
        }
    }
    SUBCASE("of few rows with long values")
    {
        constexpr std::size_t rows = 40;
        const std::string value(48'000, 'v');
        static_assert(rows * 48'000 > standin::fleet_store::max_page_bytes);
        for (std::size_t n = 0; n != rows; ++n)
        {
            store.put("servers", numbered("b&", n), value);
        }
        running_watch it{host.address()};
        CHECK(eventually([&] { return it.sink.tables != 0; }));
        CHECK(it.sink.size() == rows);
        CHECK(it.sink.value(numbered("b&", rows - 1)) == value);
    }
}

TEST_CASE("a write whose response is lost is reported as Unavailable: its outcome is unknown")
{
    standin::fleet_store store;
    store.set_faults({.lose_answers = true});
    test::hosted_server host{[&](const standin::request& req, standin::reply& rep)
                             { return store.handle(req, rep); }};
    boost::asio::io_context io{1};
    store_client client{io, host.address()};
    const auto status = test::run_call<absl::Status>(
        io,
        [&](auto done) { client.put("t", "k", "v", clock::now() + seconds{5}, std::move(done)); });
    CHECK(absl::IsUnavailable(status));
}
