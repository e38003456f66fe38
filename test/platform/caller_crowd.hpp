// Crowds of callers that nobody controls, and an endpoint that takes long for their requests.
#ifndef MANGOVANE_TEST_PLATFORM_CALLER_CROWD_HPP
#define MANGOVANE_TEST_PLATFORM_CALLER_CROWD_HPP

#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/core/time.hpp"
#include "process/child_process.hpp"

namespace mangovane::test
{

/// Callers of a crowd, a third of those for which the target is stated.
constexpr std::size_t crowd_size = 100;

/// The target is 64 MB for 300 callers, of which an idle process takes 12 MB.
constexpr std::size_t idle_process_kb = 12 * 1024;
constexpr std::size_t target_kb = 64 * 1024;
constexpr std::size_t target_crowd = 300;
constexpr std::size_t crowd_memory_kb =
    idle_process_kb + (target_kb - idle_process_kb) * crowd_size / target_crowd;

/// Descriptors of an idle process.
constexpr std::size_t own_descriptors = 64;
/// Each caller takes its connection and its endpoint's.
constexpr std::size_t crowd_descriptors = own_descriptors + 2 * crowd_size;

/// A crowd goes on sending for this long, beyond `header_timeout` of the platform's configuration.
constexpr milliseconds crowd_time{4000};

/// What each caller of a crowd sends: the beginning, `part` repeated to `bytes`, then the end.
struct crowd_kind
{
    std::string name;
    std::string begin;
    std::string part;
    std::size_t bytes; ///< Of the whole request with its repeated part.
    std::string end;

    auto operator<=>(const crowd_kind&) const = default;
};

/// Kinds of requests with very many lines, with parts over the limit or without end. The beginning
/// is a request line with the fields that the front end needs, for the holding endpoint.
[[nodiscard]] std::vector<crowd_kind> crowd_kinds(const std::string& request_begin,
                                                  std::size_t max_header_bytes);

[[nodiscard]] std::string text_of(const crowd_kind& kind);

/// Answers a GET at once and each other request after 3 s, whatever the size of its head.
class holding_endpoint
{
public:
    holding_endpoint() { accept(); }
    ~holding_endpoint();
    holding_endpoint(const holding_endpoint&) = delete;
    holding_endpoint& operator=(const holding_endpoint&) = delete;

    [[nodiscard]] std::string address() const;

private:
    struct connection;

    void accept();
    static void serve(const std::shared_ptr<connection>& it);
    static void answer(const std::shared_ptr<connection>& it);

    boost::asio::io_context io_{1};
    boost::asio::ip::tcp::acceptor acceptor_{
        io_, boost::asio::ip::tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::thread thread_{[this] { io_.run(); }};
};

/// Connections that all send the same bytes at once, read nothing and stay open.
class crowd
{
public:
    /// With `receive_bytes`, the kernel buffers about as many bytes that were not read.
    crowd(const std::string& address, std::size_t count, std::string text, int receive_bytes = 0);

    void send_for(milliseconds time);

private:
    const std::string text_;
    boost::asio::io_context io_{1};
    /// At fixed addresses, which pending writes refer to.
    std::deque<boost::asio::ip::tcp::socket> sockets_;
};

/// The same, in a thread of its own; a caller whose connection ends comes again, a bounded number
/// of times.
class returning_crowd
{
public:
    returning_crowd(const std::string& address, std::size_t count, std::string text);
    ~returning_crowd();
    returning_crowd(const returning_crowd&) = delete;
    returning_crowd& operator=(const returning_crowd&) = delete;

    /// Number of connections that the crowd has made.
    [[nodiscard]] std::size_t connections() const { return connections_; }

private:
    struct caller;

    void connect(caller& it);
    void send(caller& it);
    void await_end(caller& it);
    void come_again(caller& it);

    const std::string text_;
    const boost::asio::ip::tcp::endpoint target_;
    std::atomic<std::size_t> connections_{0};
    boost::asio::io_context io_{1};
    std::deque<std::unique_ptr<caller>> callers_;
    std::thread thread_;
};

/// Checks that a process has survived a crowd, within the bounds of memory and descriptors.
void check_survived(child_process& process, const std::string& kind);

} // namespace mangovane::test

#endif
