// Connection of a caller whose requests the tests write byte by byte, for callers that behave
// unusually.
#ifndef MANGOVANE_TEST_PLATFORM_RAW_CALLER_HPP
#define MANGOVANE_TEST_PLATFORM_RAW_CALLER_HPP

#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

/// Head of a request with an empty body on a route of the tests' configuration. `fields` holds
/// further header fields, each with its line end.
[[nodiscard]] std::string request_text(const std::string& method,
                                       const std::string& route,
                                       const std::string& id,
                                       const std::string& fields = {});

class raw_caller
{
public:
    /// Connects; the connection is complete even if the server does not accept it yet. With
    /// `receive_bytes`, the kernel buffers about as many bytes that were not read.
    explicit raw_caller(const std::string& address, int receive_bytes = 0);

    /// Writes the bytes, which must fit into the buffer of the socket.
    void send(std::string_view bytes);

    /// Shuts down the sending side; responses can still be read.
    void finish_sending();

    /// Reads until the server closes the connection or the time is over, and returns all bytes.
    [[nodiscard]] std::string read_all(milliseconds timeout);

    /// Reads until the bytes contain `end`, and returns them up to its end. Returns what has
    /// arrived if the connection ends or the time is over before.
    [[nodiscard]] std::string read_until(std::string_view end, milliseconds timeout);

    /// Reads at most so many bytes as soon as there are some; empty if the connection has ended or
    /// the time is over.
    [[nodiscard]] std::string read_some(std::size_t most, milliseconds timeout);

private:
    boost::asio::io_context io_{1};
    boost::asio::ip::tcp::socket socket_{io_};
    std::string unread_; ///< Bytes behind those that `read_until` has returned.
};

/// Status of the first response in the bytes; 0 if there is none.
[[nodiscard]] unsigned status_of(std::string_view bytes);

} // namespace mangovane::test

#endif
