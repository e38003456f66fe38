// Guards against callers who forge header fields that only the system may set, and against
// endpoints' responses that are classified wrongly.
#include "dialect.hpp"

#include <doctest/doctest.h>

#include "mangovane/settings/digest.hpp"

using namespace mangovane;
namespace http = boost::beast::http;

namespace
{

const time_point now{seconds{100}};

settings_ptr make_settings()
{
    auto result = std::make_shared<settings_snapshot>();
    result->stamp.version = 1;
    route_policy stream;
    stream.name = "review";
    stream.host = "desk.example";
    stream.prefix = "/review/";
    stream.kind = route_kind::stream;
    stream.sticky = true;
    stream.urgency = 2;
    stream.timeout = milliseconds{12000};
    stream.targets = {{service_id::of("s1"), 1}};
    auto anonymous_route = stream;
    anonymous_route.name = "open";
    anonymous_route.prefix = "/open/";
    anonymous_route.anonymous = true;
    result->routes = route_list{{stream, anonymous_route}};
    account_policy account;
    account.id = account_id::of("t1");
    account.name = "t1";
    account.urgency = 1;
    result->accounts.emplace(account.id, account);
    result->accounts_by_key_hash.emplace(sha256_hex("key"), account.id);
    return result;
}

request_head make_head()
{
    request_head head;
    head.method(http::verb::post);
    head.target("/review/7?x=1");
    head.set("Host", "desk.example:8080");
    head.set("X-Attempt-Id", "abc");
    head.set("Authorization", "Bearer key");
    head.set("X-Deadline-Ms", "5000");
    head.set("X-Model", "m");
    head.set("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    return head;
}

response_head make_response(unsigned status)
{
    response_head head;
    head.result(status);
    head.set("X-Attempt-Id", "abc");
    head.set("X-Server-Signature", "s");
    return head;
}

std::string text(boost::beast::string_view it)
{
    return {it.data(), it.size()};
}

} // namespace

TEST_CASE("a caller's request")
{
    const platform::dialect dialect;
    const auto settings = make_settings();
    auto head = make_head();

    SUBCASE("is parsed with its account, prompt and deadline")
    {
        const auto it = dialect.read(head, settings, now);
        REQUIRE(it.ok());
        CHECK(it->request == "abc");
        CHECK(it->route->name == "review");
        CHECK(it->account_name == "t1");
        CHECK(it->urgency == 1);
        REQUIRE(it->prompt.size() == 3);
        CHECK(part_ids_text(it->shared_parts()) == "5c1e07a2,91bd3f06");
        CHECK(it->deadline == now + milliseconds{5000});
    }
    SUBCASE("states its tokens, or a malformed field that states none")
    {
        head.set("X-Token-Count", "1460,80");
        CHECK(dialect.read(head, settings, now)->tokens == token_counts{1460, 80});
        for (const auto* malformed : {"", "1460", "1460,", ",80", "1460,80,1", "-1,80", "x,y"})
        {
            CAPTURE(malformed);
            head.set("X-Token-Count", malformed);
            CHECK(dialect.read(head, settings, now)->tokens == token_counts{});
        }
    }
    SUBCASE("has the same affinity as others of its chat; the last part of the prompt is ignored")
    {
        const auto one = dialect.read(head, settings, now)->affinity();
        head.set("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,aaaa:10");
        CHECK(dialect.read(head, settings, now)->affinity() == one);
        head.set("X-Prefix-Hash", "5c1e07a2:800,bbbb:410,aaaa:10");
        CHECK(dialect.read(head, settings, now)->affinity() != one);
    }
    SUBCASE("whose prompt's parts are not named by numbers is told apart by them nevertheless")
    {
        head.set("X-Prefix-Hash", "first text:800,second text:410,e4402b7d:250");
        const auto one = dialect.read(head, settings, now);
        CHECK(one->prompt[0].id != one->prompt[1].id);
        CHECK(one->prompt[0].id != 0);
    }
    SUBCASE("with a malformed prompt field is served nevertheless")
    {
        head.set("X-Prefix-Hash", ":,x,1:y,,");
        CHECK(dialect.read(head, settings, now).ok());
    }
    SUBCASE("has no later deadline than its route's timeout allows")
    {
        head.set("X-Deadline-Ms", "99999");
        CHECK(dialect.read(head, settings, now)->deadline == now + milliseconds{12000});
        head.erase("X-Deadline-Ms");
        CHECK(dialect.read(head, settings, now)->deadline == now + milliseconds{12000});
    }
    SUBCASE("without a known API key is rejected, but not on an anonymous route")
    {
        head.set("Authorization", "Bearer other");
        CHECK(kind_of(dialect.read(head, settings, now).status()) == error_kind::unauthenticated);
        head.erase("Authorization");
        CHECK(kind_of(dialect.read(head, settings, now).status()) == error_kind::unauthenticated);
        head.target("/open/7");
        CHECK(dialect.read(head, settings, now).ok());
    }
    SUBCASE("that matches no route is rejected")
    {
        head.target("/other/");
        CHECK(kind_of(dialect.read(head, settings, now).status()) == error_kind::unknown_service);
    }
    SUBCASE("is forwarded without its API key and without forged fields that only the system sets")
    {
        for (const auto* it : {"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch",
                               "X-Request-Priority", "X-Expect-Instance", "X-Tenant"})
        {
            head.set(it, "forged");
        }
        const auto request = dialect.read(head, settings, now);
        send_step step;
        step.target.name = "i-1";
        const auto sent =
            dialect.write(head, *request, step, std::nullopt, now + milliseconds{400});
        for (const auto& it : sent)
        {
            CHECK(text(it.value()) != "forged");
        }
        CHECK(sent.count("Authorization") == 0);
        CHECK(sent["X-Tenant"] == "t1");
        CHECK(sent["X-Expect-Instance"] == "i-1");
        CHECK(sent["X-Request-Priority"] == "1");
        CHECK(sent["X-Deadline-Ms"] == "4600");
        CHECK(sent["X-Attempt-Id"] == "abc");
        CHECK(sent["X-Prefix-Hash"] == head["X-Prefix-Hash"]);
        CHECK(sent.target() == head.target());
        CHECK(sent["Host"] == head["Host"]);

        SUBCASE("and with the resume position of a stream and the holder of the prompt's prefix")
        {
            step.target.prefix_source = "10.0.0.1:80";
            const auto again = dialect.write(head, *request, step, resume_point{5, "3"}, now);
            CHECK(again["Last-Event-ID"] == "5");
            CHECK(again["X-Expect-Version"] == "3");
            CHECK(again["Kv-Fetch"] == "10.0.0.1:80");
        }
    }
}

TEST_CASE("an endpoint's response")
{
    const platform::dialect dialect;
    const auto request = dialect.read(make_head(), make_settings(), now);
    REQUIRE(request.ok());
    const auto class_of = [&](const response_head& head)
    { return dialect.classify(head, *request); };

    SUBCASE("is accepted with its signature; without one a success is invalid")
    {
        CHECK(class_of(make_response(200)) == response_class::pass_through);
        CHECK(class_of(make_response(404)) == response_class::pass_through);
        CHECK(class_of(make_response(500)) == response_class::failure);
        auto head = make_response(200);
        head.erase("X-Server-Signature");
        CHECK(class_of(head) == response_class::invalid_response);
    }
    SUBCASE("is invalid with a status that HTTP does not define (guards against passing it on)")
    {
        for (const unsigned status : {99U, 600U, 999U})
        {
            CAPTURE(status);
            auto head = make_response(200);
            head.result(status);
            CHECK(class_of(head) == response_class::invalid_response);
        }
    }
    SUBCASE("is invalid if it belongs to another request or its body is encoded")
    {
        auto head = make_response(200);
        head.set("X-Attempt-Id", "other");
        CHECK(class_of(head) == response_class::invalid_response);
        head = make_response(200);
        head.set("Content-Encoding", "gzip");
        CHECK(class_of(head) == response_class::invalid_response);
    }
    SUBCASE("states that the endpoint is leaving, whatever its status")
    {
        for (const unsigned status : {200U, 404U, 500U, 503U})
        {
            auto head = make_response(status);
            CHECK_FALSE(dialect.notice_of(head, now).leaving);
            head.set("Server-Leaving", "1");
            CHECK(dialect.notice_of(head, now).leaving);
        }
    }
    SUBCASE("states the endpoint's load with or without its speed")
    {
        const auto load = [&](const std::string& value)
        {
            auto head = make_response(200);
            head.set("X-Server-Load", value);
            return dialect.notice_of(head, now).load;
        };
        CHECK(load("3,1,6") == stated_load{3, 1, 6, 0});
        CHECK(load("3, 1, 6, 250") == stated_load{3, 1, 6, 250});
        // Figures that no endpoint can mean would send it all requests, or none.
        for (const auto* absurd : {"", "3,1", "3,1,0", "3,1,6,0", "3,1,6,9", "3,1,6,1001", "-3,1,6",
                                   "3,1,6,100,1", "a,b,c", "3,1,4294967296", "200000,1,6"})
        {
            CAPTURE(absurd);
            CHECK_FALSE(load(absurd));
        }
        CHECK_FALSE(dialect.notice_of(make_response(200), now).load);
    }
    SUBCASE("that turns a request away states for how long the endpoint wants no other")
    {
        const auto closed_ms = [&](unsigned status, const std::string& value)
        {
            auto head = make_response(status);
            head.set("Retry-After", value);
            return remaining_ms(dialect.notice_of(head, now).closed_until, now);
        };
        CHECK(closed_ms(503, "3") == 3000);
        CHECK(closed_ms(503, "0.25") == 250);
        CHECK(closed_ms(500, "3") == 0);
        CHECK(closed_ms(200, "3") == 0);
        for (const auto* value : {"", "-1", "soon", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"})
        {
            CAPTURE(value);
            CHECK(closed_ms(503, value) == 0);
        }
        // Numbers out of range neither overflow nor count as none.
        CHECK(closed_ms(503, "1e300") == 24 * 3600 * 1000);
    }
    SUBCASE("means that the request was not executed only if the endpoint says so")
    {
        for (const unsigned status : {503U, 429U, 408U})
        {
            CHECK(class_of(make_response(status)) == response_class::invalid_response);
            auto head = make_response(status);
            head.set("X-Not-Executed", "1");
            CHECK(class_of(head) == response_class::no_capacity);
        }
        CHECK(class_of(make_response(421)) == response_class::wrong_endpoint);
    }
}
