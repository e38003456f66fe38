// Guards against an endpoint that harms more than its own requests: bytes without end that fill the
// memory of an instance, streams that stall for good, and responses that break off but look
// complete to the caller. The endpoint's bytes are written by the tests.
#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/raw_caller.hpp"
#include "platform/router_fleet.hpp"
#include "platform/scripted_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

/// What an instance may use on the smallest machines, beside the buffers of its streams.
constexpr std::size_t max_memory_kb = 64 * 1024;

/// A caller may wait for its deadline and this much longer.
constexpr milliseconds deadline_margin{500};
constexpr milliseconds caller_deadline{2500};

/// Nine tenths of the gap between events that the tests' configuration permits.
constexpr milliseconds sound_event_gap{540};

/// Repeats the bytes until the connection is closed.
asio::awaitable<void> repeat(reply& rep, std::string bytes)
{
    bool open = true;
    while (open)
    {
        open = co_await rep.raw(bytes);
    }
}

/// Bytes without end in one part of a response.
struct endless_part
{
    std::string name;
    unsigned status;
    const char* fields; ///< End of the response's head; then `bytes` are repeated.
    std::string bytes;
};

const std::string filler(16384, 'x');

const std::vector<endless_part>& endless_parts()
{
    static const std::vector<endless_part> parts{
        {"field of the head", 200, "X-More: ", filler},
        {"head", 200, "", "X-More: 1\r\n"},
        {"informational responses", 102, "\r\n", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"chunk extension", 200, "Transfer-Encoding: chunked\r\n\r\n1;", filler},
        {"trailers", 200, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-More: 1\r\n"},
        {"body", 200, "\r\n", filler},
        {"body in one chunk", 200, "Transfer-Encoding: chunked\r\n\r\n1000000000000000\r\n",
         filler},
        {"body of a failure", 500, "\r\n", filler},
    };
    return parts;
}

/// Writes single bytes until the connection is closed.
asio::awaitable<void> drip(reply& rep)
{
    bool open = true;
    while (open)
    {
        co_await rep.pause(milliseconds{100});
        open = co_await rep.raw(".");
    }
}

http_response call_at(const router_fleet& fleet, const std::string& route, const std::string& id)
{
    return fleet.call(0, route == "status" ? "GET" : "POST", route, id);
}

} // namespace

TEST_CASE("an endpoint that sends bytes without end")
{
    for (const auto& part : endless_parts())
    {
        CAPTURE(part.name);
        router_fleet fleet{1};
        REQUIRE(fleet.await_ready(0));
        scripted_endpoint endless{[&](const request& req, reply& rep) -> asio::awaitable<void>
                                  {
                                      co_await rep.raw(
                                          response_head(req, part.status, part.fields));
                                      co_await repeat(rep, part.bytes);
                                  }};
        fleet.write_address("endless", "ventanilla", endless.address());
        fleet.add_engine("engine-1", "dictamen");
        const auto served = [&] { return call_at(fleet, "review", "warm").status == 200; };
        REQUIRE(eventually(served, milliseconds{5000}));

        std::vector<std::future<http_response>> calls;
        const auto begin = clock::now();
        for (int n = 0; n != 20; ++n)
        {
            calls.push_back(std::async(std::launch::async, call_at, std::cref(fleet), "grant",
                                       "endless-" + std::to_string(n)));
        }
        // Other callers are served meanwhile.
        CHECK(call_at(fleet, "review", "other").status == 200);
        for (auto& it : calls)
        {
            const auto response = it.get();
            CHECK((response.status == 0 || response.status >= 500));
            CHECK(response.status != 503);
        }
        CHECK(clock::now() - begin < caller_deadline + deadline_margin);
        CHECK(endless.started() == 20);
        CHECK(fleet.processes[0]->peak_memory_kb() < max_memory_kb);
    }
}

/// Sends requests of different chats on a route that may be resumed until the endpoint has run
/// `count` of them, and returns the responses.
std::vector<http_response>
stream_calls(const router_fleet& fleet, const scripted_endpoint& endpoint, int count)
{
    std::vector<http_response> result;
    const auto before = endpoint.started();
    for (int n = 0; n != 20 * count && endpoint.started() < before + count; ++n)
    {
        http_request it;
        it.method = "POST";
        it.target = "/rights/7";
        it.fields = {{"Host", "desk.example"},
                     {"X-Attempt-Id", absl::StrCat("stream-", n)},
                     {"X-Deadline-Ms", "2500"},
                     {"Authorization", "Bearer key-1"},
                     {"X-Prefix-Hash", absl::StrCat("aa:500,b", n, ":4000,c", n, ":100")}};
        it.timeout = milliseconds{8000};
        result.push_back(send(fleet.address(0, 0), it));
    }
    CHECK(endpoint.started() == before + count);
    return result;
}

TEST_CASE("a stream on a route that may be resumed")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    fleet.add_engine("sound", "dictamen", 4);
    const auto add = [&](const scripted_endpoint& it)
    {
        fleet.write_address("scripted", "dictamen", it.address());
        std::this_thread::sleep_for(milliseconds{1000});
    };
    const std::string first_event = "\r\nid: 1\ndata: x\n\n";
    const auto is_complete = [](const http_response& it)
    { return it.status == 200 && it.has("id: 1\n") && it.has("id: 4\n"); };

    SUBCASE("continues at another endpoint if an event never ends")
    {
        const scripted_endpoint endless{
            [&](const request& req, reply& rep) -> asio::awaitable<void>
            {
                co_await rep.raw(response_head(req, 200, first_event + "id: 2\ndata: "));
                co_await repeat(rep, filler);
            }};
        add(endless);
        const auto responses = stream_calls(fleet, endless, 2);
        CHECK(std::all_of(responses.begin(), responses.end(), is_complete));
        CHECK(fleet.processes[0]->peak_memory_kb() < max_memory_kb);
    }
    SUBCASE("continues at another endpoint if single bytes arrive but no event")
    {
        const scripted_endpoint slow{[&](const request& req, reply& rep) -> asio::awaitable<void>
                                     {
                                         co_await rep.raw(
                                             response_head(req, 200, first_event + "id: 2\n"));
                                         co_await drip(rep);
                                     }};
        add(slow);
        const auto responses = stream_calls(fleet, slow, 2);
        CHECK(std::all_of(responses.begin(), responses.end(), is_complete));
    }
    SUBCASE("stays at an endpoint whose events keep within the permitted gap")
    {
        const scripted_endpoint steady{[](const request& req, reply& rep) -> asio::awaitable<void>
                                       {
                                           co_await rep.raw(response_head(req, 200, "\r\n"));
                                           for (int n = 1; n != 5; ++n)
                                           {
                                               co_await rep.raw(
                                                   absl::StrCat("id: ", n, "\ndata: x\n\n"));
                                               co_await rep.pause(sound_event_gap);
                                           }
                                           co_await rep.close();
                                       }};
        add(steady);
        const auto responses = stream_calls(fleet, steady, 2);
        CHECK(std::all_of(responses.begin(), responses.end(), is_complete));
        const auto runs = fleet.engines["sound"]->engine.runs();
        CHECK(std::all_of(runs.begin(), runs.end(),
                          [](const auto& it) { return it.last_event.empty(); }));
    }
}

TEST_CASE("a stream on a route that may not be resumed")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));

    SUBCASE("ends at its deadline, incomplete, if the endpoint sends single bytes without end")
    {
        const scripted_endpoint slow{[](const request& req, reply& rep) -> asio::awaitable<void>
                                     {
                                         co_await rep.raw(
                                             response_head(req, 200, "\r\nid: 1\ndata: "));
                                         co_await drip(rep);
                                     }};
        fleet.write_address("slow", "dictamen", slow.address());
        std::this_thread::sleep_for(milliseconds{1000});
        const auto begin = clock::now();
        const auto response = call_at(fleet, "review", "slow");
        CHECK(response.status == 0);
        CHECK(clock::now() - begin < caller_deadline + deadline_margin);
        CHECK(eventually([&] { return slow.ended() == slow.started(); }, deadline_margin));
    }
    SUBCASE("does not outlive its deadline at callers that do not read it")
    {
        const scripted_endpoint fast{[](const request& req, reply& rep) -> asio::awaitable<void>
                                     {
                                         co_await rep.raw(response_head(req, 200, "\r\n"));
                                         co_await repeat(rep, filler);
                                     }};
        fleet.write_address("fast", "dictamen", fast.address());
        std::this_thread::sleep_for(milliseconds{1000});
        std::vector<std::unique_ptr<raw_caller>> callers;
        for (int n = 0; n != 20; ++n)
        {
            callers.push_back(std::make_unique<raw_caller>(fleet.address(0, 0)));
            callers.back()->send(request_text("POST", "review", "unread-" + std::to_string(n)));
        }
        REQUIRE(eventually([&] { return fast.started() == 20; }, milliseconds{2000}));
        CHECK(eventually([&] { return fast.ended() == 20; }, caller_deadline + deadline_margin));
        CHECK(fleet.processes[0]->peak_memory_kb() < max_memory_kb);
        fleet.processes[0]->signal(SIGTERM);
        // The drain delay and a margin, well below the grace period of 5 s.
        CHECK(fleet.processes[0]->wait(milliseconds{2500}) == 0);
    }
}

TEST_CASE("an endpoint that says in its answers that it is leaving")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    unsigned status = 200;
    const scripted_endpoint leaving{
        [&](const request& req, reply& rep) -> asio::awaitable<void>
        {
            co_await rep.raw(
                response_head(req, status, "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"));
            co_await rep.close();
        }};
    fleet.write_address("leaving", "ventanilla", leaving.address());
    std::this_thread::sleep_for(milliseconds{1000});

    // The entry in the store still says that it is ready.
    for (const unsigned it : {200U, 404U, 500U})
    {
        SUBCASE(absl::StrCat("gets no requests after a response with status ", it).c_str())
        {
            status = it;
            CHECK(call_at(fleet, "grant", "first").status == it);
            for (int n = 0; n != 10; ++n)
            {
                CHECK(call_at(fleet, "grant", absl::StrCat("later-", n)).status == 503);
            }
            CHECK(leaving.started() == 1);
        }
    }
}

TEST_CASE("an endpoint that turns a request away and says for how long it wants no other")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const scripted_endpoint closed{
        [](const request& req, reply& rep) -> asio::awaitable<void>
        {
            co_await rep.raw(response_head(
                req, 503, "X-Not-Executed: 1\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n"));
            co_await rep.close();
        }};
    fleet.write_address("closed", "ventanilla", closed.address());
    std::this_thread::sleep_for(milliseconds{1000});
    CHECK(call_at(fleet, "grant", "first").status == 503);

    SUBCASE("gets none, and callers are refused at once and told when to come back")
    {
        for (int n = 0; n != 10; ++n)
        {
            raw_caller caller{fleet.address(0, 0)};
            caller.send(request_text("POST", "grant", absl::StrCat("later-", n)));
            const auto response = caller.read_all(milliseconds{300});
            CHECK(status_of(response) == 503);
            CHECK((response.find("Retry-After: 59") != std::string::npos ||
                   response.find("Retry-After: 60") != std::string::npos));
        }
        CHECK(closed.started() == 1);
    }
    SUBCASE("does not keep requests from others")
    {
        fleet.add_engine("open", "ventanilla");
        std::this_thread::sleep_for(milliseconds{1000});
        for (int n = 0; n != 10; ++n)
        {
            CHECK(call_at(fleet, "grant", absl::StrCat("other-", n)).status == 200);
        }
        CHECK(closed.started() == 1);
    }
}

TEST_CASE("a stream that broke off and whose next endpoint answers with an error")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const std::string first_event = "id: 1\ndata: x\n\n";
    std::string error;
    const auto run = [&](const request& req, reply& rep) -> asio::awaitable<void>
    {
        if (req.count("Last-Event-ID") != 0)
        {
            co_await rep.raw(error);
            co_await rep.close();
            co_return;
        }
        co_await rep.raw(response_head(req, 200, "\r\n" + first_event + "id: 2\nda"));
        rep.reset();
    };
    const scripted_endpoint one{run};
    const scripted_endpoint two{run};
    fleet.write_address("one", "dictamen", one.address());
    fleet.write_address("two", "dictamen", two.address());
    std::this_thread::sleep_for(milliseconds{1000});

    for (const unsigned status : {400U, 404U, 409U, 500U, 302U})
    {
        // With and without an end that looks like the end of an event.
        for (const auto* text : {"no such thing", "id: 2\ndata: no such thing\n\n"})
        {
            CAPTURE(status);
            CAPTURE(text);
            error = absl::StrCat("HTTP/1.1 ", status, " Error\r\nX-Server-Signature: s\r\n",
                                 "Content-Length: ", std::string{text}.size(), "\r\n\r\n", text);
            raw_caller caller{fleet.address(0, 0)};
            caller.send(request_text("POST", "rights", absl::StrCat("resumed-", status)));
            const auto response = caller.read_all(milliseconds{4000});
            CHECK(response.find("data: x") != std::string::npos);
            CHECK(response.find("no such thing") == std::string::npos);
            CHECK_FALSE(response.ends_with("0\r\n\r\n"));
        }
    }
    CHECK(one.started() + two.started() == 20);
}

TEST_CASE("a stream without a length that ends with its connection")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const std::string two_events = "id: 1\ndata: x\n\nid: 2\ndata: y\r\n\r\n";
    std::string body;
    const scripted_endpoint endpoint{[&](const request& req, reply& rep) -> asio::awaitable<void>
                                     {
                                         co_await rep.raw(response_head(req, 200, "\r\n" + body));
                                         co_await rep.close();
                                     }};
    fleet.write_address("unframed", "dictamen", endpoint.address());
    std::this_thread::sleep_for(milliseconds{1000});

    SUBCASE("is complete after a whole event")
    {
        body = two_events;
        for (const auto* route : {"review", "rights"})
        {
            CAPTURE(route);
            const auto response = call_at(fleet, route, absl::StrCat("whole-", route));
            CHECK(response.status == 200);
            CHECK(response.body == two_events);
        }
    }
    SUBCASE("has broken off inside an event, and does not look complete to the caller")
    {
        for (const auto* rest : {"id: 3\n", "id: 3\ndata: z", "id: 3\ndata: z\n", "i"})
        {
            body = two_events + rest;
            for (const auto* route : {"review", "rights"})
            {
                CAPTURE(route);
                CAPTURE(rest);
                const auto id = absl::StrCat("part-", route, std::string{rest}.size());
                CHECK(call_at(fleet, route, id).status == 0);
            }
        }
    }
}

TEST_CASE("a response that breaks off never looks complete")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const std::string large(400000, 'y'); // More than an instance holds until it is complete.
    const std::vector<std::string> beginnings{
        "Content-Length: 20\r\n\r\nshort",
        "Content-Length: 20\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "Transfer-Encoding: chunked\r\n\r\n9\r\nshort",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
        "\r\nuntil the connection ends",
        "Content-Length: 500000\r\n\r\n" + large,
        "\r\n" + large,
    };
    std::atomic<std::size_t> chosen{0};
    std::atomic<bool> resets{false};
    const scripted_endpoint broken{[&](const request& req, reply& rep) -> asio::awaitable<void>
                                   {
                                       co_await rep.raw(
                                           response_head(req, 200, beginnings[chosen]));
                                       co_await rep.pause(milliseconds{50});
                                       if (resets)
                                       {
                                           rep.reset();
                                       }
                                       else
                                       {
                                           co_await rep.close();
                                       }
                                   }};
    for (const auto* service : {"ventanilla", "dictamen"})
    {
        fleet.write_address(absl::StrCat("broken-", service), service, broken.address());
    }
    std::this_thread::sleep_for(milliseconds{1000});
    for (const bool reset : {true, false})
    {
        resets = reset;
        for (std::size_t n = 0; n != beginnings.size(); ++n)
        {
            chosen = n;
            for (const std::string route : {"grant", "review"})
            {
                // A stream that ends inside an event is incomplete, however its connection ends.
                const bool complete =
                    route == "grant" && !reset && beginnings[n].starts_with("\r\n");
                const auto id = absl::StrCat("broken-", reset ? 1 : 0, "-", n, "-", route);
                CAPTURE(id);
                const auto response = call_at(fleet, route, id);
                CHECK((response.status == 200) == complete);
                CHECK(response.status != 503);
            }
        }
    }
}
