// Guards against checks that miss a configuration which reverts when the store comes back older, or
// that report what a router may do during a disturbance.
#include "soak/change_checker.hpp"

#include <doctest/doctest.h>

#include "soak/violation_names.hpp"

#include "soak/call_text.hpp"
#include "soak/store_backups.hpp"

using namespace mangovane;
using namespace mangovane::soak;

namespace
{

const time_point start{seconds{1000}};

call_record make_call(call_kind kind, std::uint64_t version, milliseconds at, unsigned status = 200)
{
    call_record result;
    result.request = make_request_id(kind, version, 3, 12);
    result.kind = kind;
    result.version = version;
    result.process_number = 1;
    result.sending_at = start + at;
    result.written_at = start + at;
    result.ended_at = start + at + milliseconds{20};
    result.status = status;
    result.complete = true;
    return result;
}

std::vector<std::string> names(const run_observations& observed)
{
    return violated<change_checker>(observed);
}

} // namespace

TEST_CASE("the checks across changes")
{
    run_observations observed;

    SUBCASE("with a configuration that was written again after the store came back")
    {
        const auto store_outage =
            observed.outages.begin(store_component, false, start - milliseconds{500});
        observed.outages.end(store_outage, start - milliseconds{100});
        observed.changes = {{change_kind::store_returned, {}, 0, start - milliseconds{100}},
                            {change_kind::configuration_again, {}, 7, start}};

        SUBCASE("accept a router that has it within the bound")
        {
            observed.calls = {make_call(call_kind::probe, 7, milliseconds{1900}, 404),
                              make_call(call_kind::probe, 7, milliseconds{2100})};
            CHECK(names(observed) == none);
            CHECK(change_checker{observed}.timed_checks() == 0);
        }
        SUBCASE("report a router that lacks it later")
        {
            observed.calls = {make_call(call_kind::probe, 7, milliseconds{2100}, 404)};
            CHECK(names(observed) == only("in_force_again"));

            SUBCASE("but not one that was disturbed")
            {
                observed.outages.end(observed.outages.begin(0, false, start - seconds{1}),
                                     start + milliseconds{1});
                CHECK(names(observed) == none);
            }
            SUBCASE("nor one that could not ask the store, which was down again")
            {
                observed.outages.end(
                    observed.outages.begin(store_component, false, start + milliseconds{500}),
                    start + milliseconds{900});
                CHECK(names(observed) == none);
            }
        }
    }
    SUBCASE("with a key and a route that a later configuration removed")
    {
        observed.changes = {{change_kind::configuration, {}, 7, start - seconds{5}},
                            {change_kind::configuration, {}, 8, start}};
        for (const auto kind : {call_kind::removed_key, call_kind::removed_route})
        {
            CAPTURE(static_cast<int>(kind));

            // Served within the bound, refused after it.
            observed.calls = {make_call(kind, 7, milliseconds{1900}),
                              make_call(kind, 7, milliseconds{2100}, 404)};
            CHECK(names(observed) == none);

            // Served after the bound.
            observed.calls = {make_call(kind, 7, milliseconds{2100})};
            CHECK(names(observed) == only("removed_in_time"));

            // Served by the process that has already had the later configuration.
            observed.calls = {make_call(call_kind::probe, 8, milliseconds{100}),
                              make_call(kind, 7, milliseconds{200})};
            CHECK(names(observed) == only("removed_for_good"));

            // The same, while the store is away: no disturbance excuses it.
            observed.outages.end(observed.outages.begin(store_component, false, start),
                                 start + seconds{10});
            CHECK(names(observed) == only("removed_for_good"));
            observed.outages = {};

            // Sent before that process was known to have the later one.
            observed.calls.back() = make_call(kind, 7, milliseconds{90});
            CHECK(names(observed) == none);

            // Another process of the same router may start with an older configuration.
            observed.calls.back() = make_call(kind, 7, milliseconds{200});
            observed.calls.back().process_number = 2;
            CHECK(names(observed) == none);
        }
    }
    SUBCASE("with uncontrolled callers at a router")
    {
        observed.uncontrolled = {{0, start - seconds{3}, start, std::size_t{28} * 1024}};
        observed.calls.assign(10, make_call(call_kind::single_run, 0, milliseconds{3100}, 503));

        SUBCASE("accept that an ordinary call is served afterwards")
        {
            observed.calls.back().status = 200;
            CHECK(names(observed) == none);
        }
        SUBCASE("report that no ordinary call is served afterwards")
        {
            CHECK(names(observed) == only("served_after_uncontrolled"));

            SUBCASE("but not if too few were sent to tell")
            {
                observed.calls.pop_back();
                CHECK(names(observed) == none);
            }
            SUBCASE("nor if the router was disturbed then")
            {
                observed.outages.end(observed.outages.begin(0, false, start + seconds{3}),
                                     start + seconds{4});
                CHECK(names(observed) == none);
            }
        }
        SUBCASE("report that the router took more memory than its bound")
        {
            observed.calls.clear();
            observed.uncontrolled.front().peak_memory_kb = std::size_t{30} * 1024;
            CHECK(names(observed) == only("uncontrolled_memory"));
        }
    }
}

TEST_CASE("the copies of the soak's store")
{
    standin::fleet_store store;
    store_backups backups;
    for (int n = 0; n != 100; ++n)
    {
        store.put("op", "config", std::to_string(n));
        backups.advance(store, start + n * store_backups::period);
    }
    const auto value_at = [&](time_point at)
    { return backups.taken_by(at).contents.tables.at("op").at("config").value; };

    SUBCASE("give the newest one that is old enough")
    {
        CHECK(value_at(start + 90 * store_backups::period) == "90");
        CHECK(value_at(start + 91 * store_backups::period - milliseconds{1}) == "90");
    }
    SUBCASE("give the oldest one if none is old enough")
    {
        CHECK(value_at(start) == "29");
    }
}
