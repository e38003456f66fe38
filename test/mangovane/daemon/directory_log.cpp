// Tests of the log of endpoint lists. Guards against thousands of lines for one new list, which
// displaced all other lines of the log.
#include "mangovane/daemon/directory_log.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{100}};

endpoint_directory make_directory(std::size_t count)
{
    std::vector<endpoint_info> result(count);
    for (std::size_t n = 0; n != count; ++n)
    {
        result[n].name = "e" + std::to_string(n);
        result[n].id = endpoint_id::of(result[n].name);
    }
    return endpoint_directory{std::move(result)};
}

} // namespace

TEST_CASE("a new list of endpoints")
{
    const endpoint_directory none;

    SUBCASE("of a small fleet has a line for each endpoint")
    {
        const auto list = make_directory(max_directory_lines);
        const auto lines = directory_changes(none, list, {0, 7}, start);
        CHECK(lines.size() == max_directory_lines);
        CHECK(lines.front().starts_with("event=endpoint_listed endpoint=e"));
        CHECK(lines.front().ends_with(" revision=7"));

        SUBCASE("and one for each that is gone")
        {
            CHECK(directory_changes(list, make_directory(max_directory_lines - 1), {0, 8}, start) ==
                  std::vector<std::string>{"event=endpoint_gone endpoint=e149 address= domain= "
                                           "leaving=0 cold_ms=0 revision=8"});
        }
    }
    SUBCASE("of 3,000 endpoints has one line")
    {
        const auto list = make_directory(3000);
        CHECK(directory_changes(none, list, {0, 7}, start) ==
              std::vector<std::string>{"event=endpoints_replaced listed=3000 changed=0 gone=0 "
                                       "endpoints=3000 revision=7"});

        SUBCASE("and a later change of one endpoint a line of its own")
        {
            CHECK(directory_changes(list, make_directory(2999), {0, 8}, start).size() == 1);
        }
    }
}
