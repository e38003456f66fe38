// Guards against callers that take all descriptors of a process: connections on which no request
// arrives, or only its beginning. The process would then accept no other caller, and would have no
// descriptor for its endpoints, the store and the other instances.
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "platform/caller_crowd.hpp"
#include "platform/descriptor_limit.hpp"
#include "platform/native_crowd_target.hpp"
#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr std::size_t max_descriptors = 200;
constexpr std::size_t connection_count = 600;

/// Descriptors that callers must leave to the process.
constexpr std::size_t free_descriptors = 32;

/// Requests of a caller that reads no answers, enough to fill the buffers of its connection.
constexpr std::size_t unread_requests = 1000;
constexpr int small_receive_bytes = 4096;

constexpr milliseconds start_timeout{15000};

/// Below the timeouts of unfinished requests and idle connections, so that the crowd is still
/// there.
constexpr milliseconds answer_timeout{8000};
constexpr milliseconds long_header_timeout{60000};

struct connection_crowd
{
    const char* name;
    std::string text;
};

const std::vector<connection_crowd>& connection_crowds()
{
    static const std::vector<connection_crowd> result{
        {"that send nothing", ""},
        {"that send a first byte", "P"},
        {"that send most of a head", "POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\n" +
                                         std::string("X-More: 1\r\n") + "X-More: "}};
    return result;
}

void check_descriptors(child_process& process)
{
    REQUIRE_FALSE(process.wait(milliseconds{0}));
    MESSAGE(process.open_descriptors(), " descriptors, ", process.peak_memory_kb(), " KB");
    CHECK(process.open_descriptors() <= max_descriptors - free_descriptors);
    CHECK(process.peak_memory_kb() < target_kb);
}

router_fleet make_fleet()
{
    fleet_params params;
    params.config.header_timeout = long_header_timeout;
    const descriptor_limit limit{max_descriptors};
    return router_fleet{1, params};
}

bool serves_ordinary_caller(const router_fleet& fleet, milliseconds time)
{
    return eventually([&] { return fleet.call(0, "POST", "review", "ordinary").status == 200; },
                      time);
}

} // namespace

TEST_CASE("connections to the front end for routes")
{
    auto fleet = make_fleet();
    REQUIRE(fleet.await_ready(0));
    fleet.add_engine("engine-1", "dictamen");
    REQUIRE(serves_ordinary_caller(fleet, start_timeout));
    for (const auto& it : connection_crowds())
    {
        SUBCASE(it.name)
        {
            crowd callers{fleet.address(0, 0), connection_count, it.text};
            callers.send_for(milliseconds{1000});
            CHECK(serves_ordinary_caller(fleet, answer_timeout));
            check_descriptors(*fleet.processes[0]);
        }
    }
    SUBCASE("that send a first byte, and come again when they are closed")
    {
        const returning_crowd callers{fleet.address(0, 0), connection_count, "P"};
        std::this_thread::sleep_for(milliseconds{1000});
        CHECK(serves_ordinary_caller(fleet, answer_timeout));
        check_descriptors(*fleet.processes[0]);
    }
}

TEST_CASE("connections to the other listeners of an instance for routes")
{
    struct listener
    {
        const char* name;
        int port;
    };
    auto fleet = make_fleet();
    REQUIRE(fleet.await_ready(0));
    fleet.add_engine("engine-1", "dictamen");
    REQUIRE(serves_ordinary_caller(fleet, start_timeout));
    for (const auto& it : {listener{"readiness", 1}, {"metrics", 2}, {"other instances", 3}})
    {
        SUBCASE(it.name)
        {
            crowd callers{fleet.address(0, it.port), connection_count, "P"};
            callers.send_for(milliseconds{1000});
            CHECK(serves_ordinary_caller(fleet, answer_timeout));
            CHECK(eventually([&] { return fleet.ready_status(0) == 200; }, answer_timeout));
            check_descriptors(*fleet.processes[0]);
        }
    }
}

TEST_CASE("connections to the native front end")
{
    const auto target = []
    {
        const descriptor_limit limit{max_descriptors};
        return std::make_unique<native_crowd_target>();
    }();
    REQUIRE(target->serves_within(start_timeout));
    for (const auto& it : connection_crowds())
    {
        SUBCASE(it.name)
        {
            crowd callers{target->router.address, connection_count, it.text};
            callers.send_for(milliseconds{1000});
            CHECK(target->serves_within(answer_timeout));
            check_descriptors(*target->router.process);
        }
    }
    SUBCASE("that read no answers")
    {
        std::string requests;
        for (std::size_t n = 0; n != unread_requests; ++n)
        {
            requests += "GET /metrics HTTP/1.1\r\nHost: desk.example\r\n\r\n";
        }
        crowd callers{target->router.address, crowd_size, requests, small_receive_bytes};
        callers.send_for(crowd_time);
        CHECK(target->serves_within(answer_timeout));
        check_descriptors(*target->router.process);
    }
    SUBCASE("that send a first byte, and come again when they are closed")
    {
        const returning_crowd callers{target->router.address, connection_count, "P"};
        std::this_thread::sleep_for(milliseconds{1000});
        CHECK(target->serves_within(answer_timeout));
        check_descriptors(*target->router.process);
    }
}

TEST_CASE("connections to the other listeners of a native instance")
{
    const auto target = []
    {
        const descriptor_limit limit{max_descriptors};
        return std::make_unique<native_crowd_target>();
    }();
    REQUIRE(target->serves_within(start_timeout));
    const auto check = [&](const std::string& address)
    {
        crowd callers{address, connection_count, "P"};
        callers.send_for(milliseconds{1000});
        CHECK(target->serves_within(answer_timeout));
        check_descriptors(*target->router.process);
    };
    SUBCASE("operators")
    {
        check(target->router.operator_address);
    }
    SUBCASE("other instances")
    {
        check(target->router.peer_address);
    }
}
