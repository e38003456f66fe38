// An engine as a process of its own, which a certain part of a prompt crashes as soon as it begins
// to write an answer.
//
// Usage: deadly-engine ID SERVICE ZONE ADDRESS STORE EVENTS INTERVAL_MS PART
// Prints a line for each request that it runs. With CRASH_AFTER_MS in the environment it writes events
// for so long before it crashes.
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <sys/prctl.h>

#include "engine_row.hpp"

namespace
{

using namespace stage;

/// From the arrival of a request to the first event, for reading its prompt.
constexpr milliseconds prefill{30};

void run(const engine_options& it, const std::string& deadly_part, connection& conn)
{
    message req;
    if (!conn.read(req, 5000))
    {
        return;
    }
    const auto id = req.field("x-attempt-id");
    if (req.field("x-expect-instance") != it.id)
    {
        conn.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + it.id +
                  "\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    const bool deadly = req.field("x-prefix-hash").find(deadly_part + ":") != std::string::npos;
    std::printf("%s %s at %s\n", deadly ? "deadly" : "sound ", id.c_str(), it.id.c_str());
    std::fflush(stdout);
    std::this_thread::sleep_for(prefill);
    bool open = conn.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                          "\r\nX-Server-Signature: signed-" + id +
                          "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto* const text = std::getenv("CRASH_AFTER_MS");
    const auto crash_at = steady::now() + milliseconds{text == nullptr ? 0 : std::atoi(text)};
    for (int n = 1; open && (deadly || n <= it.events); ++n)
    {
        if (deadly && steady::now() >= crash_at)
        {
            ::raise(SIGKILL);
        }
        const auto event = "id: " + std::to_string(n) + "\ndata: " + id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        open = conn.send(size + event + "\r\n");
        // An engine drops a request when its connection closes.
        open = open && !conn.readable(static_cast<int>(it.interval.count()));
    }
    if (open)
    {
        conn.send("0\r\n\r\n");
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 9)
    {
        return 2;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const engine_options it{argv[1], argv[2], argv[3], argv[4],
                            argv[5], std::atoi(argv[6]), milliseconds{std::atoi(argv[7])}};
    const std::string deadly_part = argv[8];
    serve(it.address, [&](connection_ptr conn) { run(it, deadly_part, *conn); });
    keep_row(it);
}
