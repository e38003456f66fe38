// Tests of what a body in very small chunks costs on routes. Guards against callers that keep the
// processor busy: a session that suspends for each chunk takes as many steps as the caller sends
// chunks.
#include <fcntl.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include "dialect.hpp"
#include "mangovane/net/forward_server.hpp"
#include "mangovane/net/silent_services.hpp"
#include "mangovane/net/small_chunks.hpp"
#include "manifest.hpp"

using namespace mangovane;
using namespace mangovane::test;

TEST_CASE("a session that gets a body in chunks of one byte")
{
    constexpr std::size_t chunk_count = 2000;
    boost::asio::io_context io{1};
    discarding_sink sink;
    forward_options options;
    options.self.id = instance_id::of("r1");
    forward_core core{options, sink, &platform::decode_settings, clock::now()};
    const platform::dialect dialect;
    const int null_file = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    fd_log_output output{null_file};
    event_log log{output, log_limits{}, clock::now()};
    silent_observer observer;
    forward_services services{core, dialect, log, observer, {}};
    forward_server server{io, services};
    REQUIRE(server.listen("127.0.0.1:0").ok());

    SUBCASE("takes steps for its bytes, not for its chunks")
    {
        const auto request =
            in_small_chunks("POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: 7\r\n"
                            "Connection: close\r\n",
                            chunk_count);
        // The instance has no settings yet; it has read the request all the same.
        CHECK(check_steps(io, server.port(), request) == "HTTP/1.1 503");
    }
    io.stop();
    ::close(null_file);
}
