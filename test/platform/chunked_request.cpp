// Tests of what a body in very small chunks costs on routes. Guards against callers that keep the
// processor busy: a session that suspends for each chunk takes as many steps as the caller sends
// chunks.
#include <fcntl.h>
#include <unistd.h>

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "dialect.hpp"
#include "mangovane/net/forward_server.hpp"
#include "mangovane/observe/request_metrics.hpp"
#include "manifest.hpp"

using namespace mangovane;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t chunk_count = 2000;

/// Bytes for which a session may take one step, beside the steps of any request.
constexpr std::size_t bytes_per_step = 256;
constexpr std::size_t steps_of_any_request = 50;

class discarding_sink final : public message_sink
{
public:
    void send(const outgoing_message&) override {}
};

std::string request_in_small_chunks()
{
    std::string result = "POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: 7\r\n"
                         "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n != chunk_count; ++n)
    {
        result += "1\r\nx\r\n";
    }
    return result + "0\r\n\r\n";
}

} // namespace

TEST_CASE("a session that gets a body in chunks of one byte")
{
    asio::io_context io{1};
    discarding_sink sink;
    forward_options options;
    options.self.id = instance_id::of("r1");
    forward_core core{options, sink, &platform::decode_settings, clock::now()};
    const platform::dialect dialect;
    const int null_file = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    fd_log_output output{null_file};
    event_log log{output, log_limits{}, clock::now()};
    request_metrics metrics;
    forward_services services{core, dialect, log, metrics, {}};
    forward_server server{io, services};
    REQUIRE(server.listen("127.0.0.1:0").ok());

    asio::io_context client;
    tcp::socket caller{client};
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    const auto text = request_in_small_chunks();
    asio::write(caller, asio::buffer(text));

    SUBCASE("takes steps for its bytes, not for its chunks")
    {
        std::size_t steps = 0;
        while (caller.available() == 0)
        {
            steps += io.run_one_for(milliseconds{5000});
            REQUIRE(steps <= chunk_count * 10);
        }
        MESSAGE("steps: ", steps);
        CHECK(steps <= text.size() / bytes_per_step + steps_of_any_request);
        // The instance has no settings yet; it has read the request all the same.
        std::string answer(12, '\0');
        asio::read(caller, asio::buffer(answer));
        CHECK(answer == "HTTP/1.1 503");
    }
    io.stop();
    ::close(null_file);
}
