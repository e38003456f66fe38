// Runs an asynchronous call to a stand-in, which is served by a thread of the test program.
#ifndef MANGOVANE_TEST_STORE_RUN_CALL_HPP
#define MANGOVANE_TEST_STORE_RUN_CALL_HPP

#include <future>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "standin/hosted_server.hpp"

namespace mangovane::test
{

using standin::hosted_server;

/// Starts a call and runs the context until the call's handler is called, or for 20 s. Checks that
/// the handler is not called inside the call.
template <class Result, class Start>
Result run_call(boost::asio::io_context& io, Start start)
{
    std::promise<Result> done;
    auto result = done.get_future();
    start(
        [&done, &io](Result value)
        {
            done.set_value(std::move(value));
            io.stop();
        });
    CHECK(result.wait_for(std::chrono::seconds{0}) == std::future_status::timeout);
    io.restart();
    io.run_for(std::chrono::seconds{20});
    return result.get();
}

} // namespace mangovane::test

#endif
