// Guards against streams in which pieces of two runs are joined: the first run of each request
// breaks off, at every byte in turn, and the caller must get whole pieces in order, or an
// incomplete answer.
#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"
#include "platform/scripted_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

constexpr int event_count = 4;
constexpr std::uint32_t many_retries = 100'000; ///< Each request of the test uses one.

/// How the first run ends.
enum class cut_kind : std::uint8_t
{
    close,
    reset,
    complete, ///< With the last chunk, as if the response were complete.
};

std::string event_of(const std::string& id, int run, int number)
{
    return absl::StrCat("id: ", number, "\ndata: ", id, " run ", run, " piece ", number, "\n\n");
}

std::string events_of(const std::string& id, int run, int first)
{
    std::string result;
    for (int n = first; n != event_count; ++n)
    {
        result += event_of(id, run, n);
    }
    return result;
}

std::string in_chunks(const std::string& events)
{
    return absl::StrCat(absl::Hex(events.size()), "\r\n", events, "\r\n0\r\n\r\n");
}

/// Runs each request id twice: the first run breaks off, the second one is whole and begins after
/// the last event that the request names.
class cutting_endpoint
{
public:
    std::size_t cut_at{0}; ///< Bytes of the head and the events that the first run sends.
    cut_kind kind{cut_kind::close};

    asio::awaitable<void> run(const request& req, reply& rep)
    {
        const std::string id{req["X-Attempt-Id"]};
        const int number = count(id);
        if (number == 1)
        {
            const auto text = cut_response(req, events_of(id, number, 0));
            co_await rep.raw(text);
            if (kind == cut_kind::reset)
            {
                rep.reset();
                co_return;
            }
        }
        else
        {
            int last = -1;
            const bool resumes = absl::SimpleAtoi(std::string{req["Last-Event-ID"]}, &last);
            const auto events = events_of(id, number, resumes ? last + 1 : 0);
            const auto head = response_head(req, 200, "\r\n");
            co_await rep.raw(head + events);
        }
        co_await rep.close();
    }

    /// Size of the head and the events of the last first run.
    [[nodiscard]] std::size_t response_size() const { return size_; }

private:
    int count(const std::string& id)
    {
        const std::lock_guard lock{mutex_};
        return ++runs_[id];
    }

    [[nodiscard]] std::string cut_response(const request& req, const std::string& events)
    {
        const bool chunked = kind == cut_kind::complete;
        const auto head =
            response_head(req, 200, chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
        size_ = head.size() + events.size();
        const auto part = events.substr(0, cut_at - std::min(cut_at, head.size()));
        const auto body = chunked && !part.empty() ? in_chunks(part) : part;
        return head.substr(0, cut_at) + body;
    }

    std::mutex mutex_;
    std::map<std::string, int> runs_; ///< Guarded by `mutex_`.
    std::atomic<std::size_t> size_{0};
};

/// Number of whole pieces in order, each from one run, runs in order; -1 if the body has others.
int whole_pieces(const std::string& body, const std::string& id)
{
    std::size_t at = 0;
    int number = 0;
    for (int run = 1; at != body.size() && run <= 2;)
    {
        const auto event = event_of(id, run, number);
        if (body.compare(at, event.size(), event) == 0)
        {
            at += event.size();
            ++number;
        }
        else
        {
            ++run;
        }
    }
    return at == body.size() ? number : -1;
}

} // namespace

TEST_CASE("a response that breaks off in its head")
{
    // Callers of other systems got a 200 with an empty or short body, framed as whole.
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    std::size_t cut_at = 0;
    bool resets = false;
    std::size_t size = 2;
    const scripted_endpoint cutting{[&](const request& req, reply& rep) -> asio::awaitable<void>
                                    {
                                        const auto head =
                                            response_head(req, 200, "Content-Length: 4\r\n\r\n");
                                        size = head.size();
                                        co_await rep.raw(head.substr(0, cut_at));
                                        if (resets)
                                        {
                                            rep.reset();
                                            co_return;
                                        }
                                        co_await rep.close();
                                    }};
    fleet.write_address("plain", "ventanilla", cutting.address());
    fleet.write_address("model", "dictamen", cutting.address());
    std::this_thread::sleep_for(milliseconds{1000});
    for (const bool reset : {false, true})
    {
        resets = reset;
        for (const std::string route : {"grant", "status", "review", "rights"})
        {
            for (std::size_t n = 1; n < size; ++n)
            {
                cut_at = n;
                const auto id = absl::StrCat("head-", reset ? 1 : 0, "-", n);
                const auto response = fleet.call(0, route == "status" ? "GET" : "POST", route, id);
                CAPTURE(route);
                CAPTURE(n);
                CHECK(response.status >= 500);
                CHECK(response.status != 503);
            }
        }
    }
}

TEST_CASE("a stream whose first run breaks off")
{
    fleet_params params;
    params.retry_slack = many_retries;
    router_fleet fleet{1, params};
    REQUIRE(fleet.await_ready(0));
    cutting_endpoint script;
    const scripted_endpoint one{[&](const request& req, reply& rep)
                                { return script.run(req, rep); }};
    const scripted_endpoint two{[&](const request& req, reply& rep)
                                { return script.run(req, rep); }};
    fleet.write_address("one", "dictamen", one.address());
    fleet.write_address("two", "dictamen", two.address());
    std::this_thread::sleep_for(milliseconds{1000});

    for (const auto& [name, kind] :
         {std::pair{"closed", cut_kind::close}, std::pair{"reset", cut_kind::reset},
          std::pair{"ended as if complete", cut_kind::complete}})
    {
        for (const std::string route : {"rights", "review"})
        {
            SUBCASE(
                absl::StrCat("at any byte, ", name, ", on ", route, ": no piece is joined").c_str())
            {
                script.kind = kind;
                script.cut_at = 0;
                int complete = 0;
                int joined = 0;
                int answers = 0;
                for (std::size_t n = 1; n == 1 || n < script.response_size(); ++n)
                {
                    script.cut_at = n;
                    const auto id = absl::StrCat("cut", static_cast<int>(kind), "x", 10000 + n);
                    const auto response = fleet.call(0, "POST", route, id);
                    const auto pieces = whole_pieces(response.body, id);
                    ++answers;
                    joined += response.status == 200 && pieces < 0 ? 1 : 0;
                    complete += response.status == 200 && pieces == event_count ? 1 : 0;
                }
                CHECK(joined == 0);
                // An end between two events that is not a reset looks complete.
                const int unrecognised = kind == cut_kind::reset ? 0 : event_count - 1;
                CHECK((route != "rights" || complete == answers - unrecognised));
            }
        }
    }
}
