// Guards against callers that end the process of a native router because it runs out of memory:
// requests of legal size with very many header lines, and parts of requests over the limit or
// without end. The tests check no times and no share of served requests.
#include <string>

#include <doctest/doctest.h>

#include "platform/caller_crowd.hpp"
#include "platform/native_crowd_target.hpp"

using namespace mangovane;
using namespace mangovane::test;

TEST_CASE("callers of the native front end that nobody controls")
{
    static const auto kinds = crowd_kinds(native_request_begin, native_header_bytes);
    for (const auto& kind : kinds)
    {
        SUBCASE(kind.name.c_str())
        {
            const native_crowd_target target;
            REQUIRE(target.serves_within(milliseconds{15000}));

            crowd callers{target.router.address, crowd_size, text_of(kind)};
            callers.send_for(crowd_time);

            check_survived(*target.router.process, kind.name);
            CHECK(target.serves_within(milliseconds{20000}));
        }
    }
}
