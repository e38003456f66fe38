// Implementation of the raw caller.
#include "platform/raw_caller.hpp"

#include <charconv>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "mangovane/net/address.hpp"

namespace mangovane::test
{

namespace asio = boost::asio;

std::string request_text(const std::string& method,
                         const std::string& route,
                         const std::string& id,
                         const std::string& fields)
{
    return absl::StrCat(method, " /", route,
                        "/7 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: ", id,
                        "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\n", fields,
                        "Content-Length: 0\r\n\r\n");
}

raw_caller::raw_caller(const std::string& address, int receive_bytes)
{
    const auto endpoint = *parse_address(address);
    socket_.open(endpoint.protocol());
    if (receive_bytes != 0)
    {
        socket_.set_option(asio::socket_base::receive_buffer_size{receive_bytes});
    }
    socket_.connect(endpoint);
}

void raw_caller::send(std::string_view bytes)
{
    asio::write(socket_, asio::buffer(bytes.data(), bytes.size()));
}

void raw_caller::finish_sending()
{
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send);
}

std::string raw_caller::read_all(milliseconds timeout)
{
    std::string result = std::exchange(unread_, {});
    asio::async_read(socket_, asio::dynamic_buffer(result),
                     [](const boost::system::error_code&, std::size_t) {});
    io_.restart();
    io_.run_for(timeout);
    socket_.close();
    io_.run();
    return result;
}

std::string raw_caller::read_until(std::string_view end, milliseconds timeout)
{
    std::size_t size = 0;
    bool done = false;
    asio::async_read_until(socket_, asio::dynamic_buffer(unread_), std::string{end},
                           [&](const boost::system::error_code& ec, std::size_t n)
                           {
                               size = ec ? unread_.size() : n;
                               done = true;
                           });
    io_.restart();
    io_.run_for(timeout);
    if (!done)
    {
        socket_.cancel();
        io_.restart();
        io_.run();
    }
    std::string result = unread_.substr(0, size);
    unread_.erase(0, size);
    return result;
}

std::string raw_caller::read_some(std::size_t most, milliseconds timeout)
{
    std::string result(most, '\0');
    std::size_t size = 0;
    bool done = false;
    socket_.async_read_some(asio::buffer(result),
                            [&](const boost::system::error_code&, std::size_t n)
                            {
                                size = n;
                                done = true;
                            });
    io_.restart();
    io_.run_for(timeout);
    if (!done)
    {
        socket_.cancel();
        io_.restart();
        io_.run();
    }
    result.resize(size);
    return result;
}

unsigned status_of(std::string_view bytes)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    unsigned result = 0;
    if (bytes.starts_with(version))
    {
        const auto* first = bytes.data() + version.size();
        std::from_chars(first, bytes.data() + bytes.size(), result);
    }
    return result;
}

} // namespace mangovane::test
