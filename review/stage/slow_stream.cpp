// An engine pauses for a second in the middle of some streams, as it may while it reads a long prompt.
// The other engine of the service is being taken away, and a router is stopped as planned. Does the
// router deliver the streams that it has begun?
#include <algorithm>
#include <csignal>
#include <iostream>
#include <set>

#include "stage.hpp"

namespace
{

constexpr double drain_ms = 2000;  ///< Bound of the deployment.
constexpr double grace_ms = 8000;  ///< Bound of the deployment.
constexpr int events = 24;
constexpr int pause_after = 8;     ///< Events before the pause.
constexpr double event_gap_ms = 40;
constexpr double pause_ms = 1000;  ///< Clients wait 4.8 s: eight times the pause of the route, 600 ms.
constexpr int pause_every = 3;     ///< One in three streams has the pause.
constexpr std::size_t client_count = 6;
constexpr std::size_t stopped = 0; ///< The router that gets SIGTERM.

struct sent_request
{
    std::string id;
    double at{0};
    double ended{0};
    stage::answer result;
};

std::mutex mutex;
std::vector<sent_request> requests;
std::map<std::string, std::vector<std::string>> work; ///< What engines did, by request.

void note(const std::string& id, const std::string& what)
{
    const std::lock_guard lock{mutex};
    work[id].push_back(what);
}

/// Numbers the streams, so that one in `pause_every` has the pause.
bool has_pause(const std::string& id)
{
    return std::stoull(id, nullptr, 16) % pause_every == 0;
}

void stream(stage::engine& it, stage::connection& conn, const stage::http_request& req)
{
    const auto id = req.field("X-Attempt-Id");
    const auto last = req.field("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    note(id, it.id() + " from event " + std::to_string(first));
    stage::sleep_ms(it.work_ms);
    conn.write("HTTP/1.1 200 OK\r\n" + it.answer_fields(req) +
               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int n = first; n <= events; ++n)
    {
        const auto text = "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (conn.closed_by_peer() || !conn.write(size + text + "\r\n"))
        {
            note(id, it.id() + ": the router closed the connection before event " + std::to_string(n));
            return;
        }
        const bool pause = first == 1 && n == pause_after && has_pause(id);
        stage::sleep_ms(pause ? pause_ms : event_gap_ms);
    }
    conn.write("0\r\n\r\n");
    note(id, it.id() + ": complete");
}

void run_client(const std::string& address, std::atomic<bool>& end)
{
    stage::client conn{address};
    while (!end)
    {
        // A client of a router that refuses connections goes to another one, which isn't judged here.
        if (!conn.connect())
        {
            stage::sleep_ms(200);
            continue;
        }
        sent_request it;
        it.id = stage::unique_id();
        stage::http_request req{"POST", "/rights/7", "prompt of " + it.id, {}};
        req.fields = {{"Host", "desk.example"},
                      {"X-Attempt-Id", it.id},
                      {"X-Model", "m"},
                      {"X-Token-Count", "829,192"},
                      {"X-Prefix-Hash", "5c1e07a2:119,91bd3f06:580," + it.id.substr(8) + ":130"},
                      {"X-Deadline-Ms", "10000"},
                      {"Authorization", "Bearer key-1"}};
        it.at = stage::now_ms();
        it.result = conn.send(req, 10500);
        it.ended = stage::now_ms();
        {
            const std::lock_guard lock{mutex};
            requests.push_back(it);
        }
        stage::sleep_ms(it.result.complete ? 20 : 100);
    }
}

} // namespace

int main(int, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const bool trouble = stage::trouble();
    stage::record out{argv[1]};
    const auto folder = stage::temporary_folder();
    const std::vector<std::string> zones{"bogota-a", "bogota-b", "medellin-c"};
    const int base = stage::free_ports(8, {"127.0.0.1", "127.0.11.1", "127.0.12.1", "127.0.13.1", "127.0.21.1"});
    stage::store store{"127.0.20.1", static_cast<std::uint16_t>(base)};
    std::vector<std::unique_ptr<stage::engine>> engines;
    for (std::size_t n = 0; n != 2; ++n)
    {
        const auto id = "i-dictamen-" + std::to_string(n + 1);
        engines.push_back(std::make_unique<stage::engine>(id, "127.0.21." + std::to_string(n + 1),
                                                          static_cast<std::uint16_t>(base), 60));
        engines.back()->act = stream;
        store.put("servers", id, engines.back()->entry("dictamen", zones[n]));
    }
    store.put("op", "config", stage::manifest(7));
    stage::deployment fleet{zones, 2, folder, store.address(), base};
    fleet.start_all();
    for (std::size_t n = 0; n != fleet.size(); ++n)
    {
        if (!fleet.await_ready(n, 20000))
        {
            std::cout << "router " << n << " is not ready\n";
            stage::finish(fleet, folder, 2);
        }
    }
    stage::sleep_ms(4000);
    std::atomic<bool> end{false};
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n != client_count; ++n)
    {
        clients.emplace_back([&] { run_client(fleet.frontend(stopped), end); });
        stage::sleep_ms(150);
    }
    stage::sleep_ms(8000);
    double stopped_at = 0;
    if (trouble)
    {
        store.put("servers", engines[1]->id(), engines[1]->entry("dictamen", zones[1], "draining"));
        out.line(engines[1]->id() + " reports draining");
        stage::sleep_ms(drain_ms + 2000); // It ends when its streams have ended.
        store.remove("servers", engines[1]->id());
        engines[1]->stop();
        out.line(engines[1]->id() + " has left");
        stage::sleep_ms(500);
        stopped_at = stage::now_ms();
        fleet.at(stopped).signal(SIGTERM);
        out.line("SIGTERM to router " + std::to_string(stopped));
        fleet.at(stopped).wait(grace_ms);
        out.line("router " + std::to_string(stopped) + " has ended");
    }
    else
    {
        stage::sleep_ms(8000);
    }
    end = true;
    for (auto& it : clients)
    {
        it.join();
    }
    fleet.stop_all();
    std::size_t judged = 0;
    std::size_t broken = 0;
    std::size_t all_broken = 0;
    for (const auto& it : requests)
    {
        std::string did;
        for (const auto& text : work[it.id])
        {
            did += "; " + text;
        }
        const bool passed_on = !work[it.id].empty();
        // Sent no later than the stop signal and ended after it, or sent after it.
        const bool around = stopped_at != 0 && it.ended > stopped_at;
        const bool lost = passed_on && !it.result.complete;
        // In the last sixth of the grace period an engine may still be at work; the route's timeout is 10 s.
        const bool excused = it.ended > stopped_at + grace_ms * 5 / 6 || it.ended - it.at > 9900;
        judged += around && passed_on ? 1 : 0;
        broken += around && lost && !excused ? 1 : 0;
        all_broken += lost ? 1 : 0;
        out.line("stream " + it.id + " sent_at=" + std::to_string(it.at) + " ended_at=" + std::to_string(it.ended) + " status=" +
                 std::to_string(it.result.status) + (it.result.complete ? " complete" : " not complete: " + it.result.error) +
                 (around ? " around the stop" : "") + did);
    }
    const auto text = "streams: " + std::to_string(requests.size()) + ", without a complete answer: " + std::to_string(all_broken) +
                      "; around the planned stop: " + std::to_string(judged) + ", of them ended without a complete answer: " +
                      std::to_string(broken);
    out.line(text);
    std::cout << text << std::endl;
    stage::finish(fleet, folder, broken != 0 ? 1 : 0);
}
