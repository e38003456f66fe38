// An engine leaves while three of the four routers of a zone have been killed and restart. Does the
// fourth router, to which nothing has happened, stop sending to that engine?
#include <csignal>
#include <iostream>

#include "stage.hpp"

namespace
{

/// The router of zone bogota-a that is not killed: the last one in the order in which the routers of
/// the zone take over the reading of the store.
constexpr std::size_t bystander = 3;

constexpr double drain_ms = 2000;     ///< Bound of the deployment.
constexpr double serves_on_ms = 8000; ///< From the removal of the entry to the end of the engine.
constexpr std::size_t client_count = 8; ///< Each sends one request after the other.
constexpr double restart_ms = 100;    ///< From the end of a process to its restart.

/// Sends grants and status reads to one router, as its callers would.
void run_client(stage::deployment& fleet, std::size_t n, stage::record& out, std::atomic<bool>& end,
                std::mutex& mutex, std::map<std::string, std::size_t>& sent, std::map<std::string, int>& statuses)
{
    stage::client conn{fleet.frontend(n)};
    for (int count = 0; !end; ++count)
    {
        const bool grant = count % 2 == 0;
        const auto id = stage::unique_id();
        stage::http_request req;
        req.method = grant ? "POST" : "GET";
        req.target = grant ? "/grant/7" : "/status/7";
        req.body = grant ? "grant " + id : "";
        req.fields = {{"Host", "desk.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "1500"}, {"Authorization", "Bearer key-1"}};
        {
            const std::lock_guard lock{mutex};
            sent[id] = n;
        }
        const auto at = stage::now_ms();
        const auto result = conn.send(req, 2500);
        out.line("answered " + id + " router=" + std::to_string(n) + (grant ? " grant" : " status") + " status=" +
                 std::to_string(result.status) + " sent_at=" + std::to_string(at) + " " + result.error);
        {
            const std::lock_guard lock{mutex};
            statuses[id] = result.complete ? result.status : 0;
        }
        if (result.status != 200)
        {
            stage::sleep_ms(100);
        }
        stage::sleep_ms(40);
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
    for (std::size_t n = 0; n != zones.size(); ++n)
    {
        const auto id = "i-ventanilla-" + std::to_string(n + 1);
        engines.push_back(std::make_unique<stage::engine>(id, "127.0.21." + std::to_string(n + 1),
                                                          static_cast<std::uint16_t>(base), 60));
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
    stage::sleep_ms(6000); // One router of each zone has taken over the reading of the store.
    std::size_t reader = fleet.size();
    std::size_t readers = 0;
    for (std::size_t n = 0; n != 4; ++n)
    {
        if (fleet.reads_store(n))
        {
            reader = n;
            ++readers;
        }
    }
    if (readers != 1 || reader == bystander)
    {
        std::cout << "the zone has " << readers << " readers\n";
        stage::finish(fleet, folder, 2);
    }
    std::mutex mutex;
    std::map<std::string, std::size_t> sent;
    std::map<std::string, int> statuses;
    std::atomic<bool> end{false};
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n != client_count; ++n)
    {
        clients.emplace_back([&] { run_client(fleet, bystander, out, end, mutex, sent, statuses); });
    }
    stage::sleep_ms(3000);
    std::vector<std::size_t> killed;
    if (trouble)
    {
        for (std::size_t n = 0; n != 4; ++n)
        {
            if (n != bystander)
            {
                fleet.at(n).signal(SIGKILL);
                killed.push_back(n);
                out.line("killed router " + std::to_string(n) + (n == reader ? ", which reads the store for its zone" : ""));
            }
        }
    }
    const auto acknowledged = store.remove("servers", engines[0]->id());
    out.line("the store acknowledged the removal of the entry of " + engines[0]->id());
    if (trouble)
    {
        stage::sleep_ms(restart_ms);
        for (const auto n : killed)
        {
            fleet.at(n).kill();
            fleet.start(n);
            out.line("restarted router " + std::to_string(n));
        }
    }
    stage::sleep_ms(acknowledged + serves_on_ms - stage::now_ms());
    const auto ended = stage::now_ms();
    engines[0]->stop();
    out.line(engines[0]->id() + " has ended");
    stage::sleep_ms(2000);
    end = true;
    for (auto& it : clients)
    {
        it.join();
    }
    std::size_t late = 0;
    std::size_t cut = 0;
    double last = 0;
    for (const auto& it : engines[0]->runs())
    {
        const auto after = it.at - acknowledged;
        out.line("run at " + engines[0]->id() + " " + it.id + " router=" + std::to_string(sent[it.id]) +
                 " ms_after_removal=" + std::to_string(static_cast<int>(after)) + " answer=" + std::to_string(statuses[it.id]));
        if (after > drain_ms)
        {
            ++late;
            last = after;
            cut += statuses[it.id] == 200 ? 0 : 1;
        }
    }
    const auto text = "requests that reached " + engines[0]->id() + " later than drain_ms after the ack of its leaving: " +
                      std::to_string(late) + ", the last " + std::to_string(static_cast<int>(last)) + " ms after; " +
                      std::to_string(cut) + " of them were not answered with success; the engine ended " + std::to_string(static_cast<int>(ended - acknowledged)) + " ms after the ack";
    out.line(text);
    std::cout << text << std::endl;
    stage::finish(fleet, folder, late != 0 ? 1 : 0);
}
