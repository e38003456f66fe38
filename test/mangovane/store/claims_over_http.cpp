// Tests of idempotency claims through the HTTP client, against a stand-in platform with faults.
#include <doctest/doctest.h>

#include "mangovane/idempotency/claim_writer.hpp"
#include "mangovane/store/http_platform.hpp"
#include "mangovane/store/http_pool.hpp"
#include "mangovane/store/run_call.hpp"
#include "standin/platform.hpp"

using namespace mangovane;

TEST_CASE("claims over HTTP")
{
    standin::platform store;
    test::hosted_server server{[&](const standin::request& req, standin::reply& rep)
                               { return store.handle(req, rep); }};
    boost::asio::io_context io;
    const auto pool = std::make_shared<http_pool>(io, server.address());
    http_platform client{pool};
    claim_writer writer{client};
    const auto fault = [&](const char* text)
    {
        http_pool::request req{boost::beast::http::verb::post, "/fault", 11};
        req.body() = text;
        const auto response = test::run_call<absl::StatusOr<http_response>>(
            io, [&](auto done) { pool->send(req, clock::now() + seconds{5}, done); });
        CHECK(response->status == 200);
    };
    std::uint64_t attempts = 0;
    const auto claim_now = [&](milliseconds time)
    {
        claim wanted;
        wanted.key = "k";
        wanted.attempt = {instance_id{1}, 1, ++attempts};
        std::optional<absl::StatusOr<claim_result>> response;
        const auto start = clock::now();
        writer.claim_key(wanted, start, start + time,
                         [&](const auto& result) { response = result; });
        while (!response && clock::now() < start + seconds{20})
        {
            io.restart();
            io.run_for(milliseconds{5});
            writer.tick(clock::now());
        }
        REQUIRE(response);
        return *response;
    };

    SUBCASE("are acquired once although the responses of all writes are lost")
    {
        fault(R"({"lose_answers":true})");
        CHECK(claim_now(seconds{10})->acquired);
        CHECK(claim_now(seconds{10})->duplicate.refusal == error_kind::in_progress);
    }
    SUBCASE(
        "are rejected as not executed while the store is down, and acquired once it is up again")
    {
        fault(R"({"down":true})");
        CHECK(kind_of(claim_now(milliseconds{100}).status()) == error_kind::store_unavailable);
        fault(R"({"down":false})");
        CHECK(claim_now(seconds{10})->acquired);
    }
}
