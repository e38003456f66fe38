// Tests that operators can ask a running process where a request would go. Guards against a page
// that is not wired to the process, and against an answer that is not what happens.
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr int metrics_port = 2; ///< Of a router, see `router_fleet::address`.

struct ctl_result
{
    int code{0};
    std::string output; ///< Standard output and error.
};

ctl_result explain(const std::string& arguments)
{
    const auto command =
        absl::StrCat(MANGOVANE_PROGRAM_FOLDER, "/mangovanectl explain ", arguments, " 2>&1");
    ctl_result result;
    FILE* out = popen(command.c_str(), "r");
    REQUIRE(out != nullptr);
    std::array<char, 512> buf{};
    while (std::fgets(buf.data(), buf.size(), out) != nullptr)
    {
        result.output += buf.data();
    }
    result.code = WEXITSTATUS(pclose(out));
    return result;
}

/// Whether no request is counted at any endpoint. The end of a request may be counted shortly after
/// its response.
bool is_idle(const boost::json::object& explanation)
{
    const auto& endpoints = explanation.at("endpoints").as_array();
    return std::all_of(endpoints.begin(), endpoints.end(),
                       [](const auto& it) { return it.as_object().at("load") == 0; });
}

} // namespace

TEST_CASE("mangovanectl explains where a request would go")
{
    router_fleet fleet{1};
    fleet.add_engine("plain-1", "ventanilla");
    fleet.add_engine("plain-2", "ventanilla");
    REQUIRE(fleet.await_ready(0));
    const auto ask = [&](const std::string& arguments)
    { return explain(absl::StrCat(fleet.address(0, metrics_port), " ", arguments)); };
    const std::string request = "--host desk.example --path /grant/x";

    SUBCASE("as a table")
    {
        const auto result = ask(request);
        CHECK(result.code == 0);
        CHECK(result.output.find("plain-1") != std::string::npos);
        CHECK(result.output.find("least_loaded") != std::string::npos);
    }
    SUBCASE("as JSON, and the next request goes there")
    {
        for (int n = 0; n != 20; ++n)
        {
            const auto id = absl::StrCat("r", n);
            boost::json::object content;
            const auto idle = [&]
            {
                const auto result = ask(absl::StrCat(request, " --output json --request ", id));
                REQUIRE(result.code == 0);
                content = boost::json::parse(result.output).as_object();
                return is_idle(content);
            };
            REQUIRE(eventually(idle, milliseconds{5000}));
            const auto chosen = boost::json::value_to<std::string>(content.at("chosen"));
            REQUIRE(fleet.engines.contains(chosen));
            REQUIRE(fleet.call(0, "POST", "grant", id).status == 200);
            const auto runs = fleet.engines[chosen]->engine.runs();
            CHECK(std::any_of(runs.begin(), runs.end(),
                              [&](const auto& run) { return run.request == id; }));
        }
    }
    SUBCASE("and reports what is wrong with the question")
    {
        CHECK(ask("--host desk.example").code == 1);
        CHECK(ask("--host desk.example").output.find("path") != std::string::npos);
        CHECK(ask("--host nowhere.example --path /grant/x").output.find("404") !=
              std::string::npos);
        CHECK(explain("nowhere --host a --path /b").code == 2);
    }
}
