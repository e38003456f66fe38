// A caller sends requests whose end two parsers would see at different places, with another request
// hidden inside. Do the routers refuse them and go on serving the others?
#include <algorithm>
#include <csignal>
#include <iostream>

#include "stage.hpp"

namespace
{

constexpr std::size_t attacked = 3;        ///< Routers that get one such request each.
constexpr std::size_t clients_per_router = 8;
constexpr double attack_gap_ms = 2000;
constexpr double restart_ms = 500;         ///< From the end of a process to its restart.
constexpr double slow_work_ms = 250;       ///< Work of a grant; the route's timeout is 800 ms.
constexpr std::size_t allowed = 3;         ///< Requests of kept connections that may be cut so.

struct sent_request
{
    std::string id;
    std::size_t router;
    bool kept; ///< The connection had served a request before.
    double at, ended;
    stage::answer result;
};

std::mutex mutex;
std::vector<sent_request> requests;
std::map<std::string, std::string> hidden; ///< Ids inside the requests of the attack, to their outcome.

void run_client(const std::string& address, std::size_t router, std::atomic<bool>& end)
{
    stage::client conn{address};
    bool kept = false;
    while (!end)
    {
        if (conn.conn() == nullptr || conn.conn()->closed_by_peer())
        {
            kept = false;
        }
        if (!conn.connect())
        {
            stage::sleep_ms(50);
            continue;
        }
        sent_request it;
        it.id = stage::unique_id();
        it.router = router;
        it.kept = kept;
        stage::http_request req{"POST", "/grant/7", "grant " + it.id, {}};
        req.fields = {{"Host", "desk.example"}, {"X-Attempt-Id", it.id}, {"X-Deadline-Ms", "1500"}, {"Authorization", "Bearer key-1"}};
        it.at = stage::now_ms();
        it.result = conn.send(req, 2000);
        it.ended = stage::now_ms();
        kept = it.result.complete;
        {
            const std::lock_guard lock{mutex};
            requests.push_back(it);
        }
        stage::sleep_ms(20);
    }
}

/// A request with both a length and chunks, which hides another one behind its last chunk.
std::string ambiguous_request(const std::string& id, const std::string& inner_id)
{
    const auto inner = "POST /grant/8 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + inner_id +
                       "\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
    const auto body = "0\r\n\r\n" + inner;
    return "POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
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
    for (std::size_t n = 0; n != zones.size(); ++n)
    {
        const auto id = "i-ventanilla-" + std::to_string(n + 1);
        engines.push_back(std::make_unique<stage::engine>(id, "127.0.21." + std::to_string(n + 1),
                                                          static_cast<std::uint16_t>(base), slow_work_ms));
        store.put("servers", id, engines.back()->entry("ventanilla", zones[n]));
    }
    store.put("op", "config", stage::manifest(7));
    stage::deployment fleet{zones, 4, folder, store.address(), base};
    fleet.start_all();
    for (std::size_t n = 0; n != fleet.size(); ++n)
    {
        if (!fleet.await_ready(n, 20000))
        {
            std::cout << "router " << n << " is not ready\n";
            stage::finish(fleet, folder, 2);
        }
    }
    stage::sleep_ms(3500); // All routers are in touch from here on.
    std::atomic<bool> end{false};
    std::vector<std::thread> clients;
    for (std::size_t router = 0; router != attacked; ++router)
    {
        for (std::size_t n = 0; n != clients_per_router; ++n)
        {
            clients.emplace_back([&, router] { run_client(fleet.frontend(router), router, end); });
            stage::sleep_ms(30);
        }
    }
    stage::sleep_ms(3000);
    std::vector<double> ends(attacked, 0);
    for (std::size_t router = 0; router != attacked; ++router)
    {
        if (trouble)
        {
            const auto id = stage::unique_id();
            const auto inner = stage::unique_id();
            const int fd = stage::connect_to(fleet.frontend(router), 1000);
            std::string got = "no connection";
            if (fd >= 0)
            {
                stage::connection conn{fd};
                conn.write(ambiguous_request(id, inner));
                const auto result = stage::read_answer(conn, stage::now_ms() + 1500);
                got = "status " + std::to_string(result.status);
            }
            {
                const std::lock_guard lock{mutex};
                hidden[inner] = got;
            }
            out.line("ambiguous request " + id + " with " + inner + " inside, to router " + std::to_string(router) + ": " + got);
        }
        if (fleet.at(router).wait(500))
        {
            ends[router] = stage::now_ms();
            out.line("the process of router " + std::to_string(router) + " has ended by itself");
            stage::sleep_ms(restart_ms);
            fleet.start(router); // The platform starts it again.
            out.line("started router " + std::to_string(router) + " again");
        }
        stage::sleep_ms(attack_gap_ms);
    }
    end = true;
    for (auto& it : clients)
    {
        it.join();
    }
    fleet.stop_all();
    std::map<std::string, std::string> runs;
    for (auto& it : engines)
    {
        for (const auto& run : it->runs())
        {
            runs[run.id] = it->id();
        }
    }
    std::size_t cut = 0;
    std::size_t ended = 0;
    for (const auto& it : requests)
    {
        const auto ran = runs.find(it.id);
        const bool passed_on = ran != runs.end();
        const bool no_answer = it.result.status == 0;
        cut += it.kept && passed_on && no_answer ? 1 : 0;
        out.line("grant " + it.id + " router=" + std::to_string(it.router) + (it.kept ? " kept connection" : " new connection") +
                 " sent_at=" + std::to_string(it.at) + " ended_at=" + std::to_string(it.ended) + " status=" +
                 std::to_string(it.result.status) + " " + it.result.error + (passed_on ? " run by " + ran->second : " not run"));
    }
    std::size_t smuggled = 0;
    for (const auto& [id, got] : hidden)
    {
        smuggled += runs.contains(id) ? 1 : 0;
    }
    for (const auto it : ends)
    {
        ended += it != 0 ? 1 : 0;
    }
    const auto text = "requests: " + std::to_string(requests.size()) + "; processes that ended by themselves: " + std::to_string(ended) + " of " +
                      std::to_string(attacked) + "; requests of kept connections that were passed on to a sound engine and got no answer: " +
                      std::to_string(cut) + " (allowed " + std::to_string(allowed) + "); hidden requests run: " + std::to_string(smuggled);
    out.line(text);
    std::cout << text << std::endl;
    stage::finish(fleet, folder, cut > allowed || smuggled != 0 ? 1 : 0);
}
