// Guards against callers that hold the memory for requests without finishing theirs: ordinary
// requests, which need little of it for a short time, would be refused while they last.
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/caller_crowd.hpp"
#include "platform/native_crowd_target.hpp"
#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr std::size_t max_header_bytes = 65536;
constexpr std::uint64_t max_body_bytes = 4'000'000;

/// Part of its body that a caller sends.
constexpr std::size_t sent_body_bytes = 400'000;

/// The same, for the usual memory for requests.
constexpr std::size_t large_sent_bytes = 1'000'000;

constexpr int request_memory_mb = 4;

constexpr milliseconds start_timeout{15000};
constexpr milliseconds stop_timeout{30000};

/// The crowd is there for the whole test.
constexpr milliseconds long_header_timeout{60000};

/// Sets the memory for requests in the environment of the processes that are started meanwhile.
class request_memory_limit
{
public:
    request_memory_limit()
    {
        ::setenv("MANGOVANE_REQUEST_MEMORY_MB", std::to_string(request_memory_mb).c_str(), 1);
    }
    ~request_memory_limit() { ::unsetenv("MANGOVANE_REQUEST_MEMORY_MB"); }
    request_memory_limit(const request_memory_limit&) = delete;
    request_memory_limit& operator=(const request_memory_limit&) = delete;
};

fleet_params make_params()
{
    fleet_params result;
    result.config.header_bytes = max_header_bytes;
    result.config.body_bytes = max_body_bytes;
    result.config.header_timeout = long_header_timeout;
    return result;
}

router_fleet make_fleet()
{
    const request_memory_limit limit;
    return router_fleet{1, make_params()};
}

std::string unfinished_body(const std::string& request_begin,
                            std::size_t sent_bytes = sent_body_bytes)
{
    return absl::StrCat(request_begin, "Content-Length: ", max_body_bytes, "\r\n\r\n",
                        std::string(sent_bytes, 'x'));
}

std::string unfinished_head(const std::string& request_begin, std::size_t header_bytes)
{
    return request_begin + "X-More: " + std::string(header_bytes - 4096, 'x');
}

const std::string route_request_begin = "POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\n"
                                        "X-Attempt-Id: many\r\nX-Deadline-Ms: 6000\r\n"
                                        "Authorization: Bearer key-1\r\n";

/// The allocator must not keep what unfinished bodies held before: with the usual memory for
/// requests, a process stays within the target for a crowd.
void check_freed_memory(child_process& process, const returning_crowd& callers)
{
    REQUIRE_FALSE(process.wait(milliseconds{0}));
    MESSAGE(process.peak_memory_kb(), " KB, ", callers.connections(), " connections");
    CHECK(process.peak_memory_kb() < target_kb);
}

void check_process(child_process& process, const returning_crowd& callers)
{
    REQUIRE_FALSE(process.wait(milliseconds{0}));
    MESSAGE(process.peak_memory_kb(), " KB, ", process.open_descriptors(), " descriptors, ",
            callers.connections(), " connections");
    CHECK(process.peak_memory_kb() < crowd_memory_kb);
    CHECK(process.open_descriptors() < crowd_descriptors);
}

} // namespace

TEST_CASE("callers that do not finish their requests on routes")
{
    auto fleet = make_fleet();
    REQUIRE(fleet.await_ready(0));
    fleet.add_engine("engine-1", "dictamen");
    REQUIRE(eventually([&] { return fleet.call(0, "POST", "review", "first").status == 200; },
                       start_timeout));
    const auto check = [&](const std::string& text)
    {
        const returning_crowd callers{fleet.address(0, 0), crowd_size, text};
        std::this_thread::sleep_for(crowd_time);
        CHECK(fleet.call(0, "POST", "review", "ordinary").status == 200);
        check_process(*fleet.processes[0], callers);
    };
    SUBCASE("after a part of the body")
    {
        check(unfinished_body(route_request_begin));
    }
    SUBCASE("after a part of the head")
    {
        check(unfinished_head(route_request_begin, max_header_bytes));
    }
    SUBCASE("do not keep the process when it is stopped")
    {
        const returning_crowd callers{fleet.address(0, 0), crowd_size,
                                      unfinished_body(route_request_begin)};
        std::this_thread::sleep_for(crowd_time);
        fleet.processes[0]->signal(SIGTERM);
        CHECK(fleet.processes[0]->wait(stop_timeout) == 0);
    }
}

TEST_CASE("callers that do not finish their requests to the native front end")
{
    const auto target = []
    {
        const request_memory_limit limit;
        return std::make_unique<native_crowd_target>();
    }();
    REQUIRE(target->serves_within(start_timeout));
    const auto check = [&](const std::string& text)
    {
        const returning_crowd callers{target->router.address, crowd_size, text};
        std::this_thread::sleep_for(crowd_time);
        CHECK(target->serves_at_once());
        check_process(*target->router.process, callers);
    };
    SUBCASE("after a part of the body")
    {
        check(unfinished_body(native_request_begin));
    }
    SUBCASE("after a part of the head")
    {
        check(unfinished_head(native_request_begin, native_header_bytes));
    }
}

TEST_CASE("callers that do not finish large bodies")
{
    SUBCASE("on routes leave the process within its memory")
    {
        router_fleet fleet{1, make_params()};
        REQUIRE(fleet.await_ready(0));
        fleet.add_engine("engine-1", "dictamen");
        REQUIRE(eventually([&] { return fleet.call(0, "POST", "review", "first").status == 200; },
                           start_timeout));
        const returning_crowd callers{fleet.address(0, 0), crowd_size,
                                      unfinished_body(route_request_begin, large_sent_bytes)};
        std::this_thread::sleep_for(crowd_time);
        CHECK(fleet.call(0, "POST", "review", "ordinary").status == 200);
        check_freed_memory(*fleet.processes[0], callers);
    }
    SUBCASE("at the native front end leave the process within its memory")
    {
        const native_crowd_target target;
        REQUIRE(target.serves_within(start_timeout));
        const returning_crowd callers{target.router.address, crowd_size,
                                      unfinished_body(native_request_begin, large_sent_bytes)};
        std::this_thread::sleep_for(crowd_time);
        CHECK(target.serves_at_once());
        check_freed_memory(*target.router.process, callers);
    }
}
