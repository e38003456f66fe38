// A stand-in served on loopback by a thread of the program.
#ifndef MANGOVANE_STANDIN_HOSTED_HPP
#define MANGOVANE_STANDIN_HOSTED_HPP

#include <string>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "standin/http_host.hpp"

namespace mangovane::standin
{

/// Serves a handler until destruction.
class hosted
{
public:
    explicit hosted(handler handle)
        : handle_{std::move(handle)}, acceptor_{io_,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0}},
          address_{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())}
    {
        boost::asio::co_spawn(io_, accept_all(acceptor_, handle_), boost::asio::detached);
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
    handler handle_;
    boost::asio::io_context io_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::thread thread_;
};

} // namespace mangovane::standin

#endif
