// Serves a stand-in on loopback from a thread of this process.
#ifndef MANGOVANE_STANDIN_HOSTED_SERVER_HPP
#define MANGOVANE_STANDIN_HOSTED_SERVER_HPP

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

/// Listens on a free port of 127.0.0.1 and serves a handler until destruction.
class hosted_server
{
public:
    explicit hosted_server(handler handle)
        : handle_{std::move(handle)}, acceptor_{io_,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0}},
          address_{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())}
    {
        boost::asio::co_spawn(io_, accept_all(acceptor_, handle_), boost::asio::detached);
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~hosted_server()
    {
        io_.stop();
        thread_.join();
    }
    hosted_server(const hosted_server&) = delete;
    hosted_server& operator=(const hosted_server&) = delete;

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
