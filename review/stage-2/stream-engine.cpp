// An engine as a process of its own, so that it can be killed. Its answers are streams with neither
// a length nor chunks, which end with their connection.
//
// Usage: stream-engine ID SERVICE ZONE ADDRESS STORE EVENTS INTERVAL_MS
// Prints a line for each request that it runs. On SIGUSR1 it resets the connections of all requests
// that it runs, and lives on.
#include <atomic>
#include <csignal>
#include <cstdio>

#include <sys/prctl.h>

#include "engine_row.hpp"

namespace
{

using namespace stage;
std::atomic<int> resets{0};

/// Waits for the next event of a stream; false if the stream ends before it.
bool await_event(connection& conn, milliseconds interval, int resets_before)
{
    constexpr milliseconds step{10};
    for (auto left = interval; left.count() > 0; left -= step)
    {
        // An engine drops a request when its connection closes.
        if (conn.readable(static_cast<int>(step.count())))
        {
            return false;
        }
        if (resets != resets_before)
        {
            const linger abort{1, 0};
            ::setsockopt(conn.fd(), SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
            return false;
        }
    }
    return true;
}

void run(const engine_options& it, connection& conn)
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
    const auto after = req.field("last-event-id");
    std::printf("runs      %s at %s%s\n", id.c_str(), it.id.c_str(),
                after.empty() ? "" : (", goes on after event " + after).c_str());
    std::fflush(stdout);
    const int resets_before = resets;
    bool open = conn.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                          "\r\nX-Server-Signature: signed-" + id +
                          "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    for (int n = std::atoi(after.c_str()) + 1; open && n <= it.events; ++n)
    {
        open = conn.send("id: " + std::to_string(n) + "\ndata: " + id + "\n\n");
        open = open && await_event(conn, it.interval, resets_before);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 8)
    {
        return 2;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::signal(SIGUSR1, [](int) { ++resets; });
    const engine_options it{argv[1], argv[2], argv[3], argv[4],
                            argv[5], std::atoi(argv[6]), milliseconds{std::atoi(argv[7])}};
    serve(it.address, [&it](connection_ptr conn) { run(it, *conn); });
    keep_row(it);
}
