// A stand-in served on loopback by a thread of the test program.
#ifndef MANGOVANE_TEST_PLATFORM_HOSTED_HPP
#define MANGOVANE_TEST_PLATFORM_HOSTED_HPP

#include <future>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "standin/http_host.hpp"

namespace mangovane::test
{

/// Serves a handler until destruction.
class hosted
{
public:
    explicit hosted(standin::handler handle)
        : handle_{std::move(handle)}, acceptor_{io_,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0}},
          address_{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())}
    {
        boost::asio::co_spawn(io_, standin::accept_all(acceptor_, handle_), boost::asio::detached);
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~hosted()
    {
        io_.stop();
        thread_.join();
    }
    hosted(const hosted&) = delete;
    hosted& operator=(const hosted&) = delete;

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

private:
    standin::handler handle_;
    boost::asio::io_context io_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::thread thread_;
};

/// Starts a call on a context and runs it until the call's handler was called.
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
