// Tests of the log lines of owned endpoints and of requests. Each change must appear once: lines
// per request would flood the log.
#include "mangovane/daemon/endpoint_log.hpp"

#include <doctest/doctest.h>

#include "mangovane/daemon/request_log.hpp"

using namespace mangovane;

namespace
{

using lines = std::vector<std::string>;

endpoint_directory make_directory()
{
    endpoint_info info;
    info.id = endpoint_id::of("oro-1");
    info.name = "oro-1";
    return endpoint_directory{{info}};
}

owned_endpoint_status make_status(std::uint32_t ramp)
{
    owned_endpoint_status result;
    result.endpoint = endpoint_id::of("oro-1");
    result.ledger.ramp = ramp;
    return result;
}

} // namespace

TEST_CASE("the log of owned endpoints")
{
    const auto endpoints = make_directory();
    endpoint_log log;
    auto status = make_status(1);
    CHECK(log.changes({status}, endpoints) ==
          lines{"event=endpoint_owned endpoint=oro-1 in_flight=0 ramp=1"});

    SUBCASE("has no line when only the load changes")
    {
        status.ledger.in_flight = 5;
        status.ledger.queued = 2;
        CHECK(log.changes({status}, endpoints).empty());
    }

    SUBCASE("has one line for each step of the ramp, and 0 for its end")
    {
        status.ledger.ramp = 2;
        CHECK(log.changes({status}, endpoints) ==
              lines{"event=ramp_changed endpoint=oro-1 before=1 ramp=2"});
        CHECK(log.changes({status}, endpoints).empty());
        status.ledger.ramp = 0;
        CHECK(log.changes({status}, endpoints) ==
              lines{"event=ramp_changed endpoint=oro-1 before=2 ramp=0"});
    }

    SUBCASE("has the reason why an endpoint accepts no new requests, and when it does again")
    {
        status.closed = slot_refusal_reason::drained;
        CHECK(log.changes({status}, endpoints) ==
              lines{"event=endpoint_closed endpoint=oro-1 reason=drained"});
        status.closed = slot_refusal_reason::failing;
        CHECK(log.changes({status}, endpoints) ==
              lines{"event=endpoint_closed endpoint=oro-1 reason=failing"});
        status.closed.reset();
        CHECK(log.changes({status}, endpoints) == lines{"event=endpoint_opened endpoint=oro-1"});
    }

    SUBCASE("has the former name of an endpoint that is no longer listed")
    {
        CHECK(log.changes({}, endpoint_directory{{}}) ==
              lines{"event=endpoint_given_up endpoint=oro-1"});
    }
}

TEST_CASE("the log line of a request has its account, outcome and times")
{
    request_record record;
    record.account_name = "parish";
    record.service_name = "oro-model";
    record.outcome = "ok";
    record.total = milliseconds{7};
    record.queue_wait = milliseconds{1};
    record.first_token = milliseconds{3};
    record.attempts = 1;
    CHECK(log_line(record) ==
          "event=request account=parish service=oro-model class=standard outcome=ok attempts=1 "
          "total_ms=7 queue_wait_ms=1 first_token_ms=3");
}
