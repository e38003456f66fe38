// Tests of the decision whether a response that ended with its connection is complete. Guards
// against half of a response that passes as whole, and against a whole one that is cut because its
// endpoint has left.
#include "mangovane/net/end_verdict.hpp"

#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

/// The response's connection ended 30 ms ago, together with its last bytes.
connection_sample ended_connection()
{
    return {.id = 5, .silent_for = milliseconds{30}, .unheard_for = milliseconds{30}};
}

/// Established before the response's connection.
connection_sample liveness_sample()
{
    return {.id = 3,
            .established = true,
            .silent_for = milliseconds{900},
            .unheard_for = milliseconds{900},
            .idle = true};
}

connection_sample request_sample()
{
    return {.id = 4, .established = true, .silent_for = min_silence};
}

/// Ends the connection at the same time as the response's.
connection_sample closed_with(connection_sample it, const connection_sample& ended)
{
    it.established = false;
    it.unheard_for = ended.unheard_for;
    return it;
}

end_observation accepted_end()
{
    end_observation result;
    result.end = {ended_connection(), milliseconds{5}};
    return result;
}

} // namespace

TEST_CASE("the end of a response whose address accepts connections")
{
    // The one that accepts may be the successor of the process that sent the response.
    auto seen = accepted_end();
    auto& end = seen.end;
    auto liveness = liveness_sample();

    SUBCASE("is that of a whole response if a liveness connection")
    {
        end.connection.silent_for = milliseconds{500}; // The end alone says nothing.
        SUBCASE("is still open") {}
        SUBCASE("was established later, beside the open response")
        {
            liveness.id = 6;
            end.connection.seen_beside = 6;
        }
        SUBCASE("was closed by the endpoint long after the response")
        {
            end.connection.unheard_for = milliseconds{400};
            liveness.established = false;
            liveness.unheard_for = milliseconds{400} - end_arrival_time;
        }
        seen.others = {liveness};
        CHECK(judge_end(seen) == end_verdict{true, false, end_reason::process_lives});
    }
    SUBCASE("is that of a whole response if an older request goes on")
    {
        end.connection.silent_for = milliseconds{500};
        seen.others = {request_sample()};
        CHECK(judge_end(seen) == end_verdict{true, false, end_reason::process_lives});
    }
    SUBCASE("is a crash if a liveness connection ended at the same time")
    {
        liveness = closed_with(liveness, end.connection);
        seen.others = {liveness};
        SUBCASE("also if the end came with the last bytes") {}
        SUBCASE("also if it was read long after")
        {
            end.connection.unheard_for = milliseconds{4000};
            seen.others[0].unheard_for = milliseconds{3990};
        }
        SUBCASE("also if younger requests go on, at the successor")
        {
            auto younger = request_sample();
            younger.id = 7;
            seen.others.push_back(younger);
        }
        SUBCASE("also if older requests seem to go on, as their ends are lost")
        {
            seen.others.push_back(request_sample());
        }
        CHECK(judge_end(seen) == end_verdict{false, true, end_reason::process_ended});
    }
    SUBCASE("without a sign of the process")
    {
        SUBCASE("counts as whole if it came with the last bytes")
        {
            CHECK(judge_end(seen) == end_verdict{true, false, end_reason::ended_with_response});
        }
        SUBCASE("counts as broken off")
        {
            SUBCASE("if it came after a pause")
            {
                end.connection.silent_for += end.max_gap + milliseconds{1};
            }
            SUBCASE("if it may have been held back")
            {
                end.held_back = true;
            }
            SUBCASE("if the connections that are open")
            {
                end.connection.silent_for += end.max_gap + milliseconds{1};
                SUBCASE("were established after it, perhaps to a successor")
                {
                    liveness.id = 6;
                }
                SUBCASE("have bytes that hold back their end")
                {
                    liveness = request_sample();
                    liveness.unread = 1;
                }
                SUBCASE("were closed by the endpoint long before")
                {
                    liveness.established = false;
                    liveness.unheard_for = end.connection.unheard_for + end_arrival_time;
                }
                seen.others = {liveness};
            }
            CHECK(judge_end(seen) == end_verdict{false, false, end_reason::ended_after_response});
        }
    }
    SUBCASE("is never that of a whole response if its connection was reset")
    {
        end.connection.reset = true;
        seen.others = {liveness};
        CHECK(judge_end(seen) == end_verdict{false, false, end_reason::reset});
    }
}

TEST_CASE("the end of a response whose address refuses connections")
{
    auto seen = accepted_end();
    seen.connect = connect_outcome::refused;
    auto& end = seen.end;
    const auto liveness = liveness_sample();

    SUBCASE("is that of a whole response if a request shows the process")
    {
        seen.shown_by_request = true;
        CHECK(judge_end(seen) == end_verdict{true, false, end_reason::process_lives});
    }
    SUBCASE("is that of a whole response if the endpoint leaves and a liveness connection shows it")
    {
        seen.shown_by_liveness = true;
        seen.leaving = true;
        seen.others = {liveness};
        CHECK(judge_end(seen) == end_verdict{true, false, end_reason::process_lives});
    }
    SUBCASE("is that of a whole response if the endpoint may have left and it came with the last "
            "bytes")
    {
        seen.leaving = true;
        seen.may_have_left = true;
        SUBCASE("without a sign of the process") {}
        SUBCASE("and together with the process")
        {
            seen.others = {closed_with(liveness, end.connection)};
        }
        SUBCASE("and other responses ended in the same way")
        {
            auto other = end.connection;
            other.id = 4;
            seen.others = {other};
        }
        CHECK(judge_end(seen) == end_verdict{true, false, end_reason::left_after_response});
    }
    SUBCASE("counts as broken off, but not as a crash, if the endpoint may have left")
    {
        seen.leaving = true;
        seen.may_have_left = true;
        SUBCASE("and it came after a pause")
        {
            end.connection.silent_for += end.max_gap + milliseconds{1};
        }
        SUBCASE("and another response ended in the middle at the same time")
        {
            auto other = end.connection;
            other.id = 4;
            other.silent_for += end.max_gap + milliseconds{1};
            seen.others = {other};
        }
        CHECK(judge_end(seen) == end_verdict{false, false, end_reason::refuses});
    }
    SUBCASE("is a crash if the endpoint")
    {
        SUBCASE("is not known to leave") {}
        SUBCASE("had to go on serving")
        {
            seen.leaving = true;
        }
        CHECK(judge_end(seen) == end_verdict{false, true, end_reason::refuses});
    }
    SUBCASE("counts as broken off, but not as a crash, if only a liveness connection is open")
    {
        seen.others = {liveness};
        CHECK(judge_end(seen) == end_verdict{false, false, end_reason::refuses});
    }
}
