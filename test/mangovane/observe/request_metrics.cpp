// Tests of the request metrics: bounded account labels, histograms, and counters of affinity and
// early refusals. Guards against metrics that grow with the number of accounts, and against account
// names shown to callers.
#include "mangovane/observe/request_metrics.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

request_record make_record(const std::string& account, milliseconds total)
{
    request_record result;
    result.account = account_id::of(account);
    result.account_name = account;
    result.outcome = "ok";
    result.total = total;
    return result;
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("request metrics")
{
    request_metrics metrics{2};
    metrics.on_request_end(make_record("a", milliseconds{3}));
    metrics.on_request_end(make_record("b", milliseconds{30}));
    metrics.on_request_end(make_record("c", milliseconds{300}));

    SUBCASE("keep the number of account labels bounded")
    {
        const auto text = metrics.text(true);
        CHECK(has(text, "account=\"a\""));
        CHECK(has(text, "account=\"b\""));
        CHECK_FALSE(has(text, "account=\"c\""));
        CHECK(has(text, "account=\"other\""));

        SUBCASE("and move labels to the accounts that are now busy, without losing counts")
        {
            for (int n = 0; n != 5; ++n)
            {
                metrics.on_request_end(make_record("c", milliseconds{300}));
                metrics.on_request_end(make_record("a", milliseconds{3}));
            }
            metrics.rotate_labels();
            metrics.on_request_end(make_record("c", milliseconds{300}));
            const auto later = metrics.text(true);
            CHECK(
                has(later, "mangovane_request_seconds_count{account=\"c\",class=\"standard\"} 1"));
            CHECK(has(later,
                      "mangovane_request_seconds_count{account=\"other\",class=\"standard\"} 7"));
            CHECK_FALSE(has(later, "account=\"b\""));
        }
    }

    SUBCASE("do not reveal account names to callers")
    {
        const auto text = metrics.text(false);
        CHECK_FALSE(has(text, "account="));
        CHECK(has(text, "mangovane_request_seconds_bucket{class=\"standard\",le=\"0.005\"} 1"));
        CHECK(has(text, "mangovane_requests_total{outcome=\"ok\"} 3"));
    }
}

TEST_CASE("a latency histogram")
{
    latency_histogram histogram;
    for (int n = 1; n <= 100; ++n)
    {
        histogram.add(milliseconds{n});
    }

    SUBCASE("places a quantile in its bucket")
    {
        CHECK(histogram.quantile_ms(0.5) == 50);
        CHECK(histogram.quantile_ms(0.99) == 100);
        CHECK(latency_histogram{}.quantile_ms(0.5) == 0);
    }

    SUBCASE("adds up when merged")
    {
        latency_histogram sum;
        sum.merge(histogram);
        sum.merge(histogram);
        CHECK(sum.count() == 200);
        CHECK(sum.quantile_ms(0.5) == 50);
    }
}

TEST_CASE("the affinity counters")
{
    request_metrics metrics;
    auto record = make_record("a", milliseconds{3});
    record.has_affinity = true;

    SUBCASE("ignore a refused request: it would look like a lost prefix")
    {
        record.outcome = "rate_limited";
        metrics.on_request_end(record);
        CHECK(has(metrics.text(false), "mangovane_affinity_requests_total 0\n"));
    }

    SUBCASE("count requests that kept their endpoint and those that did not")
    {
        record.attempts = 1;
        metrics.on_request_end(record);
        record.affinity_kept = true;
        metrics.on_request_end(record);
        CHECK(has(metrics.text(false), "mangovane_affinity_requests_total 2\n"));
        CHECK(has(metrics.text(false), "mangovane_affinity_kept_total 1\n"));
    }

    SUBCASE("are separate from early refusals, which are counted by kind so that a wrong key is "
            "visible")
    {
        metrics.on_early_refusal(error_kind::unauthenticated);
        CHECK(has(metrics.text(false),
                  "mangovane_early_refusals_total{kind=\"unauthenticated\"} 1\n"));
    }
}
