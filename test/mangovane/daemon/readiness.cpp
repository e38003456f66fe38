// Tests of what an instance that is not ready says of itself. "not ready" alone leaves open whether
// the store does not answer or its answers are not used.
#include "mangovane/daemon/readiness.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("an instance that has started")
{
    readiness it;
    it.members = 3;

    SUBCASE("names what is missing and the store's last failure")
    {
        it.store = {false, 4, "no response from the platform before the deadline"};
        CHECK_FALSE(it.complete());
        CHECK(it.missing_text() ==
              "missing=settings,endpoints store_answered=0 store_failures=4 "
              "store_error=\"no response from the platform before the deadline\" members=3");
    }
    SUBCASE("has received the endpoints only")
    {
        it.has_endpoints = true;
        it.store.answered = true;
        CHECK(it.missing_text() ==
              "missing=settings store_answered=1 store_failures=0 store_error=\"\" members=3");
    }
    SUBCASE("is complete with settings and an endpoint list")
    {
        it.has_settings = true;
        it.has_endpoints = true;
        CHECK(it.complete());
    }
}
