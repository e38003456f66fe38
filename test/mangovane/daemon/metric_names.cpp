// Tests that the metrics of an instance, the metric table and the operators' page agree. A metric
// without a row in the table is not exported; one without a row on the page is undocumented.
#include "mangovane/observe/metric_table.hpp"

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

#include "mangovane/admission/admission_statistics.hpp"
#include "mangovane/daemon/control_metrics.hpp"
#include "mangovane/daemon/fleet_status_provider.hpp"
#include "mangovane/daemon/forward_metrics.hpp"
#include "mangovane/observe/request_metrics.hpp"

using namespace mangovane;

namespace
{

class discarding_sink final : public message_sink
{
public:
    void send(const outgoing_message&) override {}
};

request_record make_record()
{
    request_record result;
    result.account = account_id::of("parish");
    result.account_name = "parish";
    result.outcome = "ok";
    result.total = milliseconds{7};
    result.first_token = milliseconds{3};
    return result;
}

/// All samples that an instance can export.
std::string all_samples()
{
    discarding_sink sink;
    coordinator core{coordinator_options{}, sink, clock::now()};
    request_metrics metrics;
    metrics.on_request_end(make_record());
    metrics.on_early_refusal(error_kind::unauthenticated);
    metrics.on_failed_attempt("broken");
    metrics.on_session_end("idle");
    return metrics.text(true) + fleet_status_provider{core}.metrics_text() +
           traffic_metrics({}, 0) + settings_age_metric(std::nullopt) + forward_metrics({}) +
           rollout_metrics({rollout_summary{}}) + admission_statistics{}.text(0) +
           failed_tasks_metric(0);
}

std::string page()
{
    std::ifstream file{MANGOVANE_SOURCE_FOLDER "/docs/operators/metrics.md"};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("the metrics of an instance")
{
    const auto samples = all_samples();

    SUBCASE("each have a row in the table")
    {
        std::istringstream lines{samples};
        std::set<std::string_view> seen;
        for (std::string line; std::getline(lines, line);)
        {
            const auto* family = find_metric(line);
            REQUIRE_MESSAGE(family != nullptr, line);
            seen.insert(family->name);
        }

        SUBCASE("and the table has no other rows")
        {
            for (const auto& it : metric_families())
            {
                CHECK_MESSAGE(seen.contains(it.name), std::string{it.name});
            }
        }
    }

    SUBCASE("each have a row on the operators' page")
    {
        const auto text = page();
        for (const auto& it : metric_families())
        {
            CHECK_MESSAGE(has(text, "| `" + std::string{it.name} + "` |"), std::string{it.name});
        }
    }

    SUBCASE(
        "are described once per family, before all its samples (scrapers reject split families)")
    {
        const auto text = describe_metrics("mangovane_request_seconds_sum{class=\"a\"} 1\n"
                                           "mangovane_attempts_total 4\n"
                                           "mangovane_request_seconds_count{class=\"a\"} 2\n");
        CHECK(text == "# HELP mangovane_request_seconds Time from acceptance to the end of the "
                      "answer.\n"
                      "# TYPE mangovane_request_seconds histogram\n"
                      "mangovane_request_seconds_sum{class=\"a\"} 1\n"
                      "mangovane_request_seconds_count{class=\"a\"} 2\n"
                      "# HELP mangovane_attempts_total Attempts sent to endpoints.\n"
                      "# TYPE mangovane_attempts_total counter\n"
                      "mangovane_attempts_total 4\n");
    }
}

TEST_CASE("the settings' age is -1 before the first read, so that they do not seem up to date")
{
    CHECK(settings_age_metric(std::nullopt) == "mangovane_settings_age_seconds -1\n");
    CHECK(settings_age_metric(milliseconds{1500}) == "mangovane_settings_age_seconds 1.5\n");
}
