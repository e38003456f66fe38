// Tests of the router daemon's options. An invalid option must stop the process at its start, with
// a message that names it.
#include "mangovane/daemon/router_options.hpp"

#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

absl::StatusOr<router_options> read(std::vector<const char*> args)
{
    args.insert(args.begin(), "mangovane-router");
    return read_router_options(static_cast<int>(args.size()), args.data());
}

std::string error_of(std::vector<const char*> args)
{
    const auto result = read(std::move(args));
    return result.ok() ? std::string{} : std::string{result.status().message()};
}

} // namespace

TEST_CASE("the options of a router daemon")
{
    SUBCASE("are accepted when complete")
    {
        const auto options = read({"--name", "r1", "--domain", "a", "--settings-file", "f",
                                   "--endpoint", "s/e/a/127.0.0.1:1"});
        REQUIRE(options.ok());
        CHECK(options->endpoints.size() == 1);
        CHECK(options->drain_delay == milliseconds{3000});
        CHECK(options->grace_period == milliseconds{600000});
    }

    SUBCASE("are rejected with the option, its value and the allowed values")
    {
        const auto text = error_of({"--name", "r1", "--domain", "a", "--settings-file", "f",
                                    "--listen", "localhost", "--threads", "0"});
        CHECK(text.find("listen 'localhost': must be ip:port") != std::string::npos);
        CHECK(text.find("threads '0': must be 1 to 64") != std::string::npos);
    }

    SUBCASE("are rejected when the source of the settings is missing or ambiguous")
    {
        CHECK_FALSE(error_of({"--name", "r1", "--domain", "a"}).empty());
        CHECK_FALSE(error_of({"--name", "r1", "--domain", "a", "--settings-file", "f", "--platform",
                              "127.0.0.1:1"})
                        .empty());
    }

    SUBCASE("are rejected without a cluster key when an interface requires one")
    {
        CHECK(error_of({"--name", "r1", "--domain", "a", "--settings-file", "f", "--peer-listen",
                        "127.0.0.1:0"})
                  .find("MANGOVANE_CLUSTER_KEY") != std::string::npos);
    }

    SUBCASE("are rejected when a flag is unknown")
    {
        CHECK_FALSE(error_of({"--nmae", "r1"}).empty());
    }
}
