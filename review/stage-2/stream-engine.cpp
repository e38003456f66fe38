// An engine as a process of its own, so that it can be killed. Its answers are streams with neither
// a length nor chunks, which end with their connection.
//
// Usage: stream-engine ID SERVICE ZONE ADDRESS STORE EVENTS INTERVAL_MS
// Prints a line for each request that it runs. On SIGUSR1 it resets the connections of all requests
// that it runs, and lives on. On SIGTERM it reports that it leaves, goes on serving for `drain_ms` and
// until the requests that it runs have ended, and then exits.
#include <atomic>
#include <csignal>
#include <cstdio>

#include <sys/prctl.h>

#include "engine_row.hpp"

namespace
{

using namespace stage;
constexpr milliseconds drain{2000};

std::atomic<int> resets{0};
std::atomic<int> running{0};

/// Leaves once the last request has ended.
void end_request(steady::time_point started_leaving)
{
    const bool last = --running == 0;
    if (leaving && last && steady::now() >= started_leaving + drain)
    {
        std::_Exit(0);
    }
}

std::atomic<steady::time_point> left_at{};

/// Waits for the next event of a stream; false if the stream ends before it.
bool await_event(connection& conn, steady::time_point at, int resets_before)
{
    constexpr milliseconds step{10};
    for (auto now = steady::now(); now < at; now = steady::now())
    {
        const auto left = std::chrono::ceil<milliseconds>(at - now);
        // An engine drops a request when its connection closes.
        if (conn.readable(static_cast<int>(std::min(left, step).count())))
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
    ++running;
    const int resets_before = resets;
    bool open = conn.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                          "\r\nX-Server-Signature: signed-" + id +
                          "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    auto next = steady::now();
    for (int n = std::atoi(after.c_str()) + 1; open && n <= it.events; ++n)
    {
        next += it.interval;
        open = conn.send("id: " + std::to_string(n) + "\ndata: " + id + "\n\n");
        open = open && (n == it.events || await_event(conn, next, resets_before));
    }
    std::printf("%s %s at %s\n", open ? "finished " : "ended    ", id.c_str(), it.id.c_str());
    std::fflush(stdout);
    end_request(left_at);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 8)
    {
        return 2;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::signal(SIGTERM,
                [](int)
                {
                    left_at = steady::now();
                    leaving = true;
                });
    std::signal(SIGUSR1, [](int) { ++resets; });
    const engine_options it{argv[1], argv[2], argv[3], argv[4],
                            argv[5], std::atoi(argv[6]), milliseconds{std::atoi(argv[7])}};
    serve(it.address, [&it](connection_ptr conn) { run(it, *conn); });
    keep_row(it);
}
