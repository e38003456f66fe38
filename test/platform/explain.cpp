// Tests that scripts/explain finds the cause of a failed request by its id in a router's log, as
// described in docs/OPERATIONS.md.
#include <algorithm>
#include <array>
#include <cstdio>
#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"
#include "platform/scratch_folder.hpp"

using namespace mangovane;
using namespace mangovane::test;
using standin::engine_fault;

namespace
{

/// Output of `scripts/explain` for a request id.
std::string explain(const router_fleet& fleet, const std::string& id)
{
    const auto command = absl::StrCat(MANGOVANE_SOURCE_FOLDER, "/scripts/explain ", id, " ",
                                      fleet.log_file(0), " 2>&1");
    std::string result;
    FILE* out = popen(command.c_str(), "r");
    REQUIRE(out != nullptr);
    std::array<char, 512> buf{};
    while (std::fgets(buf.data(), buf.size(), out) != nullptr)
    {
        result += buf.data();
    }
    pclose(out);
    return result;
}

/// Waits until the explanation contains the end of the request. The log is flushed a few times a
/// second, and events that led to the end may be written shortly after it.
std::string await_explanation(const router_fleet& fleet, const std::string& id)
{
    std::this_thread::sleep_for(milliseconds{500});
    std::string text;
    const auto written = [&]
    {
        text = explain(fleet, id);
        return text.find(absl::StrCat("event=answered request=", id)) != std::string::npos;
    };
    CHECK(eventually(written, milliseconds{5000}));
    return text;
}

/// The first line of an event that contains all words; empty if there is none.
std::string
line_with(const std::string& text, const std::string& event, const std::vector<std::string>& words)
{
    for (std::size_t from = 0; from < text.size();)
    {
        const auto end = std::min(text.find('\n', from), text.size());
        const auto line = absl::StrCat(text.substr(from, end - from), " ");
        const auto has = [&](const std::string& word)
        { return line.find(absl::StrCat(" ", word)) != std::string::npos; };
        if (has(absl::StrCat("event=", event, " ")) && std::all_of(words.begin(), words.end(), has))
        {
            return line;
        }
        from = end + 1;
    }
    return {};
}

} // namespace

TEST_CASE("the log explains a request that failed")
{
    const scratch_folder folder{"explain"};
    router_fleet fleet{1, {.log_folder = folder.path}};
    fleet.add_engine("plain-1", "ventanilla");
    fleet.add_engine("engine-1", "dictamen");
    REQUIRE(fleet.await_ready(0));
    REQUIRE(fleet.call(0, "POST", "grant", "good").status == 200);

    SUBCASE("that was refused: no endpoint was available since the last one started draining")
    {
        fleet.write_entry("plain-1", "ventanilla", "draining");
        int n = 0;
        const auto refused = [&]
        { return fleet.call(0, "POST", "grant", absl::StrCat("refused-", ++n)).status == 503; };
        REQUIRE(eventually(refused, milliseconds{5000}));
        const auto text = await_explanation(fleet, absl::StrCat("refused-", n));
        CHECK_FALSE(line_with(text, "answered",
                              {"outcome=no_endpoint ", "status=503 ", "attempts=0 ",
                               "may_have_run=0 ", "settings="})
                        .empty());
        CHECK_FALSE(
            line_with(text, "endpoint_changed", {"endpoint=plain-1 ", "leaving=1 ", "revision="})
                .empty());
    }
    SUBCASE("with unknown outcome: which endpoint was chosen and why, and how the call failed")
    {
        fleet.engines["plain-1"]->engine.set_fault(engine_fault::reset, 1);
        CHECK(fleet.call(0, "POST", "grant", "unknown").status == 502);
        const auto text = await_explanation(fleet, "unknown");
        CHECK_FALSE(line_with(text, "dispatch",
                              {"attempt=1 ", "endpoint=plain-1 ", "load=", "allowed=", "options=1 ",
                               "settings="})
                        .empty());
        CHECK_FALSE(line_with(text, "attempt_ended", {"endpoint=plain-1 ", "result=broken ", "ms="})
                        .empty());
        CHECK_FALSE(
            line_with(text, "answered",
                      {"outcome=outcome_unknown ", "status=502 ", "attempts=1 ", "may_have_run=1 "})
                .empty());
    }
    SUBCASE("whose stream was cut: at which endpoint, and after what time")
    {
        fleet.engines["engine-1"]->engine.set_fault(engine_fault::cut, 1);
        CHECK(fleet.call(0, "POST", "review", "broken").status == 0);
        const auto text = await_explanation(fleet, "broken");
        CHECK_FALSE(
            line_with(text, "dispatch", {"endpoint=engine-1 ", "affinity=", "resumes=0 "}).empty());
        CHECK_FALSE(
            line_with(text, "attempt_ended", {"endpoint=engine-1 ", "result=cut ", "ms="}).empty());
        CHECK_FALSE(line_with(text, "answered", {"outcome=cut ", "may_have_run=1 "}).empty());
    }
    SUBCASE("and reports an unknown id as such")
    {
        CHECK(explain(fleet, "nobody").find("no line of nobody") != std::string::npos);
    }
}
