// An engine as a process of its own, so that it can be killed. Its answers are streams with neither
// a length nor chunks, which end with their connection.
//
// Usage: stream-engine ID SERVICE ZONE ADDRESS STORE EVENTS INTERVAL_MS
// Prints a line for each request that it runs. On SIGUSR1 it resets the connections of all requests
// that it runs, and lives on.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <mutex>
#include <thread>

#include <sys/prctl.h>

#include "http.hpp"

namespace
{

using namespace stage;
using std::chrono::milliseconds;

constexpr milliseconds heartbeat{1200};

struct options
{
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    std::string store;
    int events{0};
    milliseconds interval{0};
};

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

void write_row(const options& it, long born, int sequence)
{
    const std::string body =
        "{\"service\":\"" + it.service + "\",\"address\":\"" + it.address + "\",\"zone\":\"" +
        it.zone + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"warmup_left_ms\":0," +
        "\"sequence\":" + std::to_string(sequence) + ",\"born\":" + std::to_string(born) + "}";
    const auto conn = connect_to(it.store);
    message res;
    if (conn)
    {
        conn->send("POST /standin/engine-row/" + it.id +
                   " HTTP/1.1\r\nHost: store\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
        conn->read(res, 1000);
    }
}

void run(const options& it, connection& conn)
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
    const options it{argv[1], argv[2], argv[3], argv[4],
                     argv[5], std::atoi(argv[6]), milliseconds{std::atoi(argv[7])}};
    const auto born = static_cast<long>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    serve(it.address, [&it](connection_ptr conn) { run(it, *conn); });
    for (int n = 1;; ++n)
    {
        write_row(it, born, n);
        std::this_thread::sleep_for(heartbeat);
    }
}
