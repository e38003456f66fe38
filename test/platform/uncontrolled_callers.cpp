// Guards against callers that end the process of a router because it runs out of memory: requests
// of legal size with very many header lines, and parts of requests over the limit or without end.
// The tests check no times and no share of served requests.
#include <string>

#include <doctest/doctest.h>

#include "platform/caller_crowd.hpp"
#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr std::size_t max_header_bytes = 65536;
constexpr std::size_t idle_connections = 2500;

const std::string request_begin = "POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\n"
                                  "X-Attempt-Id: many\r\nX-Deadline-Ms: 6000\r\n"
                                  "Authorization: Bearer key-1\r\n";

const std::vector<crowd_kind>& kinds()
{
    static const auto result = crowd_kinds(request_begin, max_header_bytes);
    return result;
}

router_fleet make_fleet()
{
    fleet_params params;
    params.config.header_bytes = max_header_bytes;
    params.config.header_timeout = milliseconds{3000};
    params.config.call_timeout = milliseconds{6000};
    return router_fleet{1, params};
}

/// Whether one ordinary request is answered; the rest of a crowd may still be in the way.
bool serves_ordinary_caller(const router_fleet& fleet)
{
    return eventually([&] { return fleet.call(0, "POST", "review", "ordinary").status == 200; },
                      milliseconds{20000});
}

} // namespace

TEST_SUITE("uncontrolled callers")
{
    void check_crowd(const crowd_kind& kind)
    {
        auto fleet = make_fleet();
        REQUIRE(fleet.await_ready(0));
        const holding_endpoint plain;
        fleet.write_address("plain-1", "ventanilla", plain.address());
        fleet.add_engine("engine-1", "dictamen");
        REQUIRE(serves_ordinary_caller(fleet));

        crowd callers{fleet.address(0, 0), crowd_size, text_of(kind)};
        callers.send_for(crowd_time);

        check_survived(*fleet.processes[0], kind.name);
        CHECK(serves_ordinary_caller(fleet));
    }

    TEST_CASE("callers with very many short header lines")
    {
        check_crowd(kinds()[0]);
    }

    TEST_CASE("callers with many odd header lines")
    {
        check_crowd(kinds()[1]);
    }

    TEST_CASE("callers with many header lines before a body that does not arrive")
    {
        check_crowd(kinds().back());
    }

    TEST_CASE("callers with parts over the limit or without end")
    {
        for (std::size_t n = 2; n + 1 < kinds().size(); ++n)
        {
            SUBCASE(kinds()[n].name.c_str())
            {
                check_crowd(kinds()[n]);
            }
        }
    }

    TEST_CASE("callers with idle connections")
    {
        auto fleet = make_fleet();
        REQUIRE(fleet.await_ready(0));
        fleet.add_engine("engine-1", "dictamen");
        REQUIRE(serves_ordinary_caller(fleet));
        crowd callers{fleet.address(0, 0), idle_connections, ""};
        callers.send_for(milliseconds{1000});
        REQUIRE_FALSE(fleet.processes[0]->wait(milliseconds{0}));
        MESSAGE("idle: " << fleet.processes[0]->peak_memory_kb() << " KB, "
                         << fleet.processes[0]->open_descriptors() << " descriptors");
        CHECK(fleet.processes[0]->peak_memory_kb() < target_kb);
        CHECK(fleet.processes[0]->open_descriptors() < own_descriptors + idle_connections);
        CHECK(serves_ordinary_caller(fleet));
    }
}
