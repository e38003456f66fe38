// Tests of the error kinds and their descriptors. A descriptor that marks a call as safe to retry
// although it may have run would make callers run it twice.
#include "mangovane/core/error_kind.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the table of error kinds")
{
    SUBCASE("maps each kind to its own row and an HTTP error status")
    {
        for (const auto& row : error_descriptors())
        {
            CAPTURE(row.name);
            CHECK(descriptor_of(row.kind) == row);
            CHECK(row.http_status >= 400);
        }

        SUBCASE("and marks a retry as safe only for kinds whose call has not run")
        {
            for (const auto& row : error_descriptors())
            {
                CAPTURE(row.name);
                CHECK((!row.retry_safe || row.not_run));
            }
        }
    }

    SUBCASE("finds the kind that a status carries")
    {
        const auto status = make_error(error_kind::queue_full, "the wait queue is full");
        CHECK(kind_of(status) == error_kind::queue_full);
        CHECK(std::string{status.message()} == "the wait queue is full");

        SUBCASE("and reports an error without a kind as internal")
        {
            CHECK(kind_of(absl::DataLossError("foreign")) == error_kind::internal);
            CHECK_FALSE(kind_of(absl::OkStatus()).has_value());
        }
    }
}
