// Tests of the time for which an answer is awaited. With a fixed time, a service that has become
// slower than that seems to be down for ever.
#include "mangovane/retry/answer_timeout.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the time for an answer")
{
    const time_point now{seconds{50}};
    const milliseconds longest{4000};
    const answer_timeout first{milliseconds{1000}, longest};
    CHECK(first.deadline_from(now) == now + milliseconds{1000});

    SUBCASE("doubles with each call that was given up, up to a limit")
    {
        auto it = first.after_expiry();
        CHECK(it.deadline_from(now) == now + milliseconds{2000});
        for (int n = 0; n != 40; ++n)
        {
            it = it.after_expiry();
        }
        CHECK(it.deadline_from(now) == now + longest);

        SUBCASE("and returns to the first one after a fast answer")
        {
            CHECK(it.after(absl::OkStatus(), milliseconds{4}) == first);
        }
        SUBCASE("and stays at twice the time of a late answer")
        {
            const auto late = it.after(absl::OkStatus(), milliseconds{1300});
            CHECK(late.deadline_from(now) == now + longest);
            CHECK(it.after(absl::OkStatus(), milliseconds{900}).deadline_from(now) ==
                  now + milliseconds{2000});
        }
    }
    SUBCASE("is not changed by a call that failed at once")
    {
        CHECK(first.after(absl::UnavailableError("refused"), milliseconds{1}) == first);
        CHECK(first.after(absl::DeadlineExceededError("late"), seconds{1}) == first.after_expiry());
    }
}
