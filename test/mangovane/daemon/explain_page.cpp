// Guards against an explanation that differs from the choice, or that changes the next one.
#include "mangovane/daemon/explain_page.hpp"

#include <string>
#include <vector>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using test::start;

namespace
{

namespace json = boost::json;

/// An instance with endpoints, the last of them cold.
struct instance
{
    explicit instance(placement_mode mode, std::uint64_t endpoints = 4)
        : core{make_options(mode), sink, {}, start}
    {
        std::vector<endpoint_change> entries;
        for (std::uint64_t n = 0; n != endpoints; ++n)
        {
            entries.push_back(test::make_entry("engine-" + std::to_string(n), test::model_service,
                                               "ikeja-a", n + 1));
        }
        entries.back().cold_left = seconds{10};
        core.catalog().replace(entries, endpoints, start);
        core.refresh(start);
    }

    static forward_options make_options(placement_mode mode)
    {
        auto result = test::make_options("router", "ikeja-a");
        result.fleet.placement = mode;
        return result;
    }

    void adopt() { core.adopt_settings(settings, start); }

    [[nodiscard]] monitoring_response get(const std::string& parameters)
    {
        const auto target = "/explain?" + parameters;
        return *explain_page(core, {"GET", target}, now);
    }

    [[nodiscard]] json::object explain(const std::string& parameters)
    {
        const auto page = get(parameters);
        REQUIRE(page.status == 200);
        return json::parse(page.body).as_object();
    }

    [[nodiscard]] dispatch_choice choose(const std::vector<prompt_part>& prompt)
    {
        auto request = test::make_request(settings, "review");
        request.request = "explain";
        request.prompt = prompt;
        return core.choose(request, {}, choice_purpose::dispatch, now);
    }

    settings_ptr settings{test::make_settings(10)};
    test::recording_sink sink;
    forward_core core;
    time_point now{start};
};

const std::string plain_request = "host=desk.example&path=/review/x";

std::string prompt_of(std::uint64_t chat)
{
    return "&prompt=1:512," + std::to_string(chat) + ":4000,7:130";
}

std::string text(const json::value& it)
{
    return json::value_to<std::string>(it);
}

} // namespace

TEST_CASE("an explanation of a choice")
{
    for (const auto mode : {placement_mode::least_loaded, placement_mode::even,
                            placement_mode::reported, placement_mode::plain})
    {
        instance it{mode};
        it.adopt();
        instance unasked{mode};
        unasked.adopt();
        CAPTURE(policy_of(mode).name);

        // For each request first the explanation, several times, then the choice: it is the one
        // explained, and the one at an instance that explains nothing.
        std::size_t cold_choices = 0;
        for (std::uint64_t n = 1; n != 60; ++n)
        {
            it.now += milliseconds{50};
            unasked.now = it.now;
            const bool prefix = n % 3 == 0;
            const auto parameters = plain_request + (prefix ? prompt_of(n) : "");
            const std::vector<prompt_part> parts{
                {1, 512}, {prompt_part_id(std::to_string(n)), 4000}, {7, 130}};
            const auto prompt = prefix ? parts : std::vector<prompt_part>{};
            const auto before = it.core.tracker().digest(it.now);
            const auto answer = it.explain(parameters);
            CHECK(it.explain(parameters) == answer);
            CHECK(it.core.tracker().digest(it.now) == before);
            const auto chosen = it.choose(prompt);
            REQUIRE(chosen);
            CHECK(text(answer.at("chosen")) == chosen->name);
            CHECK(text(answer.at("prefix_source")) == chosen->prefix_source);
            CHECK(answer.at("load_limit").to_number<std::uint32_t>() == chosen->load_limit);
            CHECK(unasked.choose(prompt) == chosen);
            cold_choices += chosen->name == "engine-3" ? 1 : 0;
        }
        // Otherwise the admissions of a cold endpoint have not been tried.
        CHECK(cold_choices > 0);
    }
}

TEST_CASE("the admission in an explanation")
{
    constexpr std::uint32_t slots = 6;
    const auto settings = test::make_settings(10);
    test::recording_sink sink;
    auto options = test::make_options("router", "ikeja-a");
    std::uint32_t stated = slots;
    SUBCASE("is left out where it is off") {}
    SUBCASE("is left out where the slots are unknown")
    {
        options.admission.enabled = true;
        stated = 0;
    }
    SUBCASE("tells the room, and whether the request would be sent at once")
    {
        options.admission.enabled = true;
    }
    forward_core core{options, sink, {}, start};
    auto entry = test::make_entry("engine", test::model_service, "ikeja-a", 1);
    entry.info->slots = stated;
    core.catalog().replace({entry}, 1, start);
    core.adopt_settings(settings, start);
    core.refresh(start);

    const auto explain = [&]
    {
        const auto page = *explain_page(core, {"GET", "/explain?" + plain_request}, start);
        return json::parse(page.body).as_object().at("admission");
    };
    const auto admission = explain();
    const bool expected = options.admission.enabled && stated != 0;
    REQUIRE(admission.is_object() == expected);
    if (!expected)
    {
        return;
    }
    CHECK(admission.at("open").as_bool());
    CHECK(admission.at("slots").to_number<double>() == slots);

    // Far more requests of another instance than the endpoint can process.
    load_digest digest;
    digest.endpoints.push_back({endpoint_id::of("engine"), 10 * slots, 0, 1});
    core.on_message(instance_id::of("other"), digest, start);
    CHECK_FALSE(explain().at("open").as_bool());
    CHECK(explain().at("in_flight").to_number<double>() == 10 * slots);
    CHECK(core.admission().waiting() == 0);
}

TEST_CASE("the page that explains a choice")
{
    instance it{placement_mode::least_loaded};

    SUBCASE("is not there before the first settings")
    {
        CHECK(it.get(plain_request).status == 503);
    }
    SUBCASE("is for its own path only")
    {
        CHECK_FALSE(explain_page(it.core, {"GET", "/metrics"}, start));
        CHECK_FALSE(explain_page(it.core, {"POST", "/explain"}, start));
    }
    it.adopt();
    SUBCASE("names the parameter that is missing, unknown or wrong")
    {
        const auto names = [&](const std::string& parameters, const std::string& name)
        {
            const auto page = it.get(parameters);
            CHECK(page.status == 400);
            CHECK(page.body.find(name) != std::string::npos);
        };
        names("path=/review/x", "host");
        names("host=desk.example", "path");
        names(plain_request + "&colour=red", "colour");
        names(plain_request + "&urgency=12", "urgency");
        names(plain_request + "&prompt=a", "prompt");
        names(plain_request + "&tokens=5", "tokens");
        names(plain_request + "&account=nobody", "nobody");
        names(plain_request + "&%zz", "malformed");
    }
    SUBCASE("answers 404 where no route matches")
    {
        CHECK(it.get("host=desk.example&path=/nowhere/x").status == 404);
    }
    SUBCASE("decodes parameters")
    {
        const auto answer = it.explain("host=desk.example&path=%2Freview%2Fx&urgency=2");
        CHECK(text(answer.at("route")) == "review");
        CHECK(text(answer.at("service")) == "dictamen");
        CHECK(text(answer.at("rule")) == "least_loaded");
        CHECK(answer.at("urgency").to_number<int>() == 2);
    }
    SUBCASE("states for each endpoint why it is excluded, and its load")
    {
        const auto first = it.choose({});
        REQUIRE(first);
        it.core.on_notice(*first, endpoint_notice{true}, start);
        const auto answer = it.explain(plain_request);
        for (const auto& endpoint : answer.at("endpoints").as_array())
        {
            const auto& fields = endpoint.as_object();
            const bool is_first = text(fields.at("endpoint")) == first->name;
            CHECK(text(fields.at("excluded")) == (is_first ? "leaving" : "none"));
            CHECK(fields.at("own").to_number<int>() == (is_first ? 1 : 0));
            CHECK(fields.at("cold").as_bool() == (text(fields.at("endpoint")) == "engine-3"));
        }
    }
    SUBCASE("says why there is no endpoint")
    {
        const auto answer = it.explain("host=desk.example&path=/status/x");
        CHECK(text(answer.at("chosen")).empty());
        CHECK(text(answer.at("refusal").as_object().at("kind")) == "no_endpoint");
    }
}

TEST_CASE("an explanation with very many endpoints is bounded")
{
    instance it{placement_mode::least_loaded, 1'200};
    it.adopt();
    const auto answer = it.explain(plain_request);
    CHECK(answer.at("endpoint_count").to_number<int>() == 1'200);
    CHECK(answer.at("endpoints").as_array().size() == choice_explanation::max_endpoints);
    CHECK(text(answer.at("chosen")) == it.choose({})->name);
}
