// Guards against a platform client that repeats a write, exceeds a deadline or takes an error of
// the platform for a missing row. Runs against a stand-in platform.
#include "mangovane/store/http_platform.hpp"

#include <atomic>

#include <doctest/doctest.h>

#include "mangovane/store/http_pool.hpp"
#include "mangovane/store/run_call.hpp"
#include "standin/platform.hpp"

using namespace mangovane;
using mangovane::test::hosted_server;
using mangovane::test::run_call;

namespace
{

using read_result = absl::StatusOr<std::optional<table_row>>;
using write_response = absl::StatusOr<std::vector<write_result>>;
using http_result = absl::StatusOr<http_response>;
namespace http = boost::beast::http;

struct fixture
{
    standin::platform store;
    hosted_server server{[this](const standin::request& req, standin::reply& rep)
                         { return store.handle(req, rep); }};
    boost::asio::io_context io;
    std::shared_ptr<http_pool> pool{std::make_shared<http_pool>(io, server.address())};
    http_platform client{pool};

    [[nodiscard]] static time_point deadline_in(milliseconds time) { return clock::now() + time; }

    read_result read(const std::string& key, milliseconds time = seconds{5})
    {
        return run_call<read_result>(io,
                                     [&](auto done) { client.read(key, deadline_in(time), done); });
    }
    write_response write(std::vector<table_write> writes, milliseconds time = seconds{5})
    {
        return run_call<write_response>(io, [&](auto done)
                                        { client.write(writes, deadline_in(time), done); });
    }
    http_result send(http::verb verb, const std::string& target, const std::string& body)
    {
        http_pool::request req{verb, target, 11};
        req.body() = body;
        return run_call<http_result>(io, [&](auto done)
                                     { pool->send(req, deadline_in(seconds{5}), done); });
    }
    void fault(const std::string& text)
    {
        CHECK(send(http::verb::post, "/fault", text)->status == 200);
    }
};

} // namespace

TEST_CASE("a client of the platform")
{
    fixture fix;

    SUBCASE("reads a missing row as absent, and of two first writes only one succeeds")
    {
        CHECK(*fix.read("claim/a b") == std::nullopt);
        const auto results = fix.write({{"claim/a b", "1", 0}, {"claim/a b", "2", 0}});
        REQUIRE(results.ok());
        CHECK(results->at(0) == write_result{true, {"claim/a b", "1", 1}});
        CHECK(results->at(1) == write_result{false, {"claim/a b", "1", 1}});
        CHECK(fix.read("claim/a b")->value() == table_row{"claim/a b", "1", 1});

        SUBCASE("and a failed condition on a missing row returns no row, not an error")
        {
            CHECK(fix.write({{"other", "1", 7}})->at(0) == write_result{});
        }
    }

    SUBCASE("reports a lost response as an error and does not repeat the write, which took effect")
    {
        fix.fault(R"({"lose_answers":true})");
        CHECK(absl::IsUnavailable(fix.write({{"a", "1", 0}}).status()));
        CHECK(fix.read("a")->value().revision == 1);
        const auto stats = fix.send(http::verb::get, "/stats", "");
        CHECK(stats->body.find("\"writes\":1,") != std::string::npos);
        CHECK(stats->body.find("\"conflicts\":0,") != std::string::npos);
    }

    SUBCASE("ends a call to a slow store at its deadline; the write may still take effect")
    {
        fix.fault(R"({"slow_ms":300})");
        CHECK(absl::IsDeadlineExceeded(fix.write({{"a", "1", 0}}, milliseconds{50}).status()));
        CHECK(absl::IsDeadlineExceeded(fix.read("a", milliseconds{0}).status()));
        fix.fault(R"({"slow_ms":0})");
        for (int n = 0; n != 50 && !fix.read("a")->has_value(); ++n)
        {
            std::this_thread::sleep_for(milliseconds{20});
        }
        CHECK(fix.read("a")->has_value());
    }

    SUBCASE("distinguishes a store that is down or limits the rate from a missing row")
    {
        fix.fault(R"({"down":true})");
        CHECK(absl::IsUnavailable(fix.read("a").status()));
        fix.fault(R"({"down":false,"max_reads_per_s":1})");
        CHECK(fix.read("a").ok());
        CHECK(absl::IsResourceExhausted(fix.read("a").status()));
    }

    SUBCASE("reads an object back byte for byte")
    {
        const std::string content{"\0\xff{", 3};
        const auto put = run_call<absl::Status>(
            fix.io,
            [&](auto done) { fix.client.put("v1/x", content, fix.deadline_in(seconds{5}), done); });
        CHECK(put.ok());
        const auto get = [&](const char* name)
        {
            return run_call<absl::StatusOr<std::string>>(
                fix.io,
                [&](auto done) { fix.client.get(name, fix.deadline_in(seconds{5}), done); });
        };
        CHECK(*get("v1/x") == content);
        CHECK(absl::IsNotFound(get("v2").status()));
    }

    SUBCASE("fetches a stale list unchanged, and the new one once the platform serves it")
    {
        const auto fetch = [&]
        {
            return run_call<absl::StatusOr<discovery_list>>(
                fix.io, [&](auto done) { fix.client.fetch(fix.deadline_in(seconds{5}), done); });
        };
        fix.fault(R"({"stale_list":true})");
        const auto* text =
            R"({"instances":[{"name":"i","address":"a","domain":"d"}],"endpoints":[]})";
        CHECK(fix.send(http::verb::put, "/v1/instances", text)->status == 200);
        CHECK(fetch()->instances.empty());
        fix.fault(R"({"stale_list":false})");
        CHECK(fetch()->instances.size() == 1);
    }

    SUBCASE("queues calls beyond the number of connections, and calls each handler exactly once")
    {
        int called = 0;
        for (int n = 0; n != 50; ++n)
        {
            const auto deadline =
                n % 10 == 9 ? fix.deadline_in(milliseconds{-1}) : fix.deadline_in(seconds{5});
            fix.client.read("a", deadline,
                            [&](const read_result& row) {
                                called +=
                                    row.ok() || absl::IsDeadlineExceeded(row.status()) ? 1 : 100;
                            });
        }
        CHECK(called == 0);
        fix.io.restart();
        fix.io.run_for(seconds{2});
        CHECK(called == 50);
    }

    SUBCASE("fails each call if the address is malformed")
    {
        const auto other = make_http_platform(fix.io, "no-address");
        const auto row = run_call<read_result>(
            fix.io, [&](auto done) { other->read("a", fix.deadline_in(seconds{5}), done); });
        CHECK(absl::IsInvalidArgument(row.status()));
    }
}

TEST_CASE("a keep-alive connection that the platform closed after its response is not reused")
{
    std::atomic<int> closed{0};
    hosted_server server{
        [&](const standin::request&, standin::reply& rep) -> boost::asio::awaitable<void>
        {
            co_await rep.send(404, "{}");
            rep.reset();
            ++closed;
        }};
    boost::asio::io_context io;
    const auto client = make_http_platform(io, server.address());
    for (int n = 1; n <= 3; ++n)
    {
        const auto row = run_call<read_result>(
            io, [&](auto done) { client->read("a", clock::now() + seconds{5}, done); });
        REQUIRE(row.ok()); // On a closed connection each write after a pause would be in doubt.
        while (closed != n)
        {
            std::this_thread::sleep_for(milliseconds{1});
        }
    }
}
