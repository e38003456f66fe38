// Tests of the error kinds and their answers.
#include "mangovane/core/error_kind.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the table of error kinds")
{
    SUBCASE("has a row with its own name for each kind")
    {
        for (const auto& row : error_descriptors())
        {
            CAPTURE(row.name);
            CHECK(descriptor_of(row.kind) == row);
            CHECK(row.http_status >= 400);
        }

        SUBCASE("and never advises a retry that could run a call twice")
        {
            for (const auto& row : error_descriptors())
            {
                CAPTURE(row.name);
                CHECK((!row.retry_safe || row.not_run));
            }
        }
    }

    SUBCASE("survives the way through a status")
    {
        const auto status = make_error(error_kind::queue_full, "the wait queue is full");
        CHECK(kind_of(status) == error_kind::queue_full);
        CHECK(std::string{status.message()} == "the wait queue is full");

        SUBCASE("and a foreign status counts as internal")
        {
            CHECK(kind_of(absl::DataLossError("foreign")) == error_kind::internal);
            CHECK_FALSE(kind_of(absl::OkStatus()).has_value());
        }
    }
}
