// Tests of the task monitor. Guards against coroutines that an exception ends without a trace: a
// caller would lose its answer, and no log could tell why.
#include "mangovane/net/task_monitor.hpp"

#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/spawn.hpp"

using namespace mangovane;
namespace asio = boost::asio;

namespace
{

asio::awaitable<void> succeed()
{
    co_return;
}

asio::awaitable<void> fail_with_text()
{
    throw std::runtime_error{"no memory for the head"};
    co_return;
}

asio::awaitable<void> fail_with_number()
{
    throw 7;
    co_return;
}

} // namespace

TEST_CASE("a task of an I/O context")
{
    asio::io_context io;
    std::vector<std::string> reports;
    task_monitor_of(io).on_failure(
        [&](std::string_view task, std::string_view reason)
        { reports.push_back(std::string{task} + ": " + std::string{reason}); });
    std::vector<bool> ends;
    const auto on_end = [&](bool failed) { ends.push_back(failed); };

    SUBCASE("that ends in order is not reported")
    {
        spawn(io.get_executor(), "session", succeed(), on_end);
        io.run();
        CHECK(reports.empty());
        CHECK(ends == std::vector{false});
    }
    SUBCASE("that an exception ends")
    {
        SUBCASE("is reported with its name and the text, and its owner learns of it")
        {
            spawn(asio::make_strand(io), "session", fail_with_text(), on_end);
            io.run();
            CHECK(reports == std::vector<std::string>{"session: no memory for the head"});
            CHECK(ends == std::vector{true});
        }
        SUBCASE("is reported although nobody waits for its end")
        {
            spawn(asio::make_strand(io), "poll", fail_with_number());
            io.run();
            CHECK(reports == std::vector<std::string>{"poll: unknown exception"});
        }
        SUBCASE("is counted")
        {
            spawn(io.get_executor(), "session", fail_with_text());
            spawn(io.get_executor(), "poll", fail_with_text());
            io.run();
            CHECK(task_monitor_of(io).failures() == 2);
        }
    }
}
