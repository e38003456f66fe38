// Guards against a plain service stand-in that miscounts runs. Other tests check by its counts that
// a call ran at most once, and would miss a second run.
#include "standin/service.hpp"

#include <doctest/doctest.h>

#include "mangovane/store/http_pool.hpp"
#include "mangovane/store/run_call.hpp"

using namespace mangovane;
namespace http = boost::beast::http;

TEST_CASE("a plain service stand-in")
{
    standin::service ledger;
    test::hosted_server server{[&](const standin::request& req, standin::reply& rep)
                               { return ledger.handle(req, rep); }};
    boost::asio::io_context io;
    const auto pool = std::make_shared<http_pool>(io, server.address());
    const auto send = [&](http::verb verb, const char* target, const char* body)
    {
        http_pool::request req{verb, target, 11};
        req.body() = body;
        return test::run_call<absl::StatusOr<http_response>>(
            io, [&](auto done) { pool->send(req, clock::now() + seconds{5}, done); });
    };
    const auto pledge = [&] { return send(http::verb::post, "/pledges", R"({"id":"p"})"); };
    const auto runs = [&] { return send(http::verb::get, "/runs", "")->body; };

    SUBCASE("counts a call that ran, but not a read")
    {
        CHECK(pledge()->status == 200);
        CHECK(send(http::verb::get, "/schedule", "")->status == 200);
        CHECK(runs() == R"({"runs":{"p":1}})");

        SUBCASE("also if the connection is reset before the response")
        {
            CHECK(send(http::verb::post, "/fault", R"({"cut":true})")->status == 200);
            CHECK(absl::IsUnavailable(pledge().status()));
            CHECK(runs() == R"({"runs":{"p":2}})");
        }
        SUBCASE("but not if it is refused or the service is down")
        {
            CHECK(send(http::verb::post, "/fault", R"({"refuse":true})")->status == 200);
            CHECK(pledge()->status == 503);
            CHECK(send(http::verb::post, "/fault", R"({"down":true})")->status == 200);
            CHECK(absl::IsUnavailable(pledge().status()));
            CHECK(runs() == R"({"runs":{"p":1}})");
        }
    }

    SUBCASE("rejects a misspelt fault, so that no test passes without its fault")
    {
        CHECK(send(http::verb::post, "/fault", R"({"cutt":true})")->status == 400);
        CHECK(send(http::verb::post, "/fault", R"({"slow_ms":-1})")->status == 400);
    }

    SUBCASE("sends a load report with the fields of an engine")
    {
        const auto text = send(http::verb::get, "/mangovane/load", "")->body;
        CHECK(text.find("\"in_flight\":0") != std::string::npos);
        CHECK(text.find("\"leaving\":false") != std::string::npos);
    }
}
