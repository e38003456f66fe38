// Tests of the check for a crashed endpoint. Guards against a timer that is believed before what
// has arrived: a crashed endpoint would count as one that does not respond, and the request that
// crashed it would be sent to the next one.
#include "mangovane/net/crash_check.hpp"

#include <future>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/paused_context.hpp"
#include "mangovane/net/raw_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;

namespace
{

/// Below the 1 s after which the kernel sends a connection request again.
constexpr milliseconds check_timeout{850};
constexpr milliseconds kernel_retry_time{1000};

} // namespace

TEST_CASE("a check for a crashed endpoint")
{
    asio::io_context io{1};
    full_endpoint endpoint;
    const auto started_at = clock::now();
    auto outcome = asio::co_spawn(asio::make_strand(io),
                                  try_connect(endpoint.address(), milliseconds{0}, check_timeout),
                                  asio::use_future);
    std::thread thread{[&] { io.run(); }};

    SUBCASE("that is paused past its timeout")
    {
        std::this_thread::sleep_for(check_timeout / 2);

        SUBCASE("finds the refusal that arrived meanwhile")
        {
            endpoint.close();
            {
                const paused_context pause{io, started_at + check_timeout + milliseconds{50}};
                std::this_thread::sleep_until(started_at + kernel_retry_time + milliseconds{200});
            }
            CHECK(outcome.get() == connect_outcome::refused);
        }
        SUBCASE("does not take a connection that was accepted meanwhile for a refusal")
        {
            endpoint.make_room();
            {
                const paused_context pause{io, started_at + check_timeout + milliseconds{50}};
                std::this_thread::sleep_until(started_at + kernel_retry_time + milliseconds{200});
            }
            CHECK(outcome.get() == connect_outcome::accepted);
        }
    }
    SUBCASE("ends at its timeout if the endpoint does not respond, which is no refusal")
    {
        CHECK(outcome.get() == connect_outcome::unanswered);
        CHECK(clock::now() - started_at >= check_timeout);
        CHECK(clock::now() - started_at < check_timeout * 3);
    }
    thread.join();
}
