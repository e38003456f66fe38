// A part of a prompt crashes each engine that begins to write an answer on it. Do the routers stop
// sending requests with it, and do sound requests still begin?
//
// MODE=event: an engine has written the head and the first event of the answer when it crashes.
// MODE=head: it has written the head. MODE=partial: the head and a part of the first event.
// MODE=burst: as `head`, and the requests with the part come six at a time.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <algorithm>
#include <random>

#include "stage.hpp"

namespace
{

constexpr double contact_ms = 3000;  ///< Bound of the deployment.
constexpr std::size_t allowed = 3;   ///< Requests with the part that may still reach engines after that.
constexpr double down_ms = 2000;     ///< From a crash to the next boot of the engine.
constexpr double baseline_ms = 10000;
constexpr double trouble_ms = 25000;
constexpr double sound_gap_ms = 80;
constexpr double deadly_gap_ms = 330;
constexpr double burst_gap_ms = 3300;
constexpr int burst_size = 6;
constexpr char part[] = "dead0001";

struct sent_request
{
    std::string id;
    bool deadly;
    double at;
    int status{0};
    bool began{false};
    bool complete{false};
};

struct arrival
{
    std::string id;
    double at;
};

std::mutex mutex;
std::vector<sent_request> requests;
std::vector<arrival> arrivals; ///< Of requests with the part at engines.
std::vector<double> crashes;

} // namespace

int main(int, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const bool trouble = stage::trouble();
    const std::string mode = std::getenv("MODE") == nullptr ? "event" : std::getenv("MODE");
    stage::record out{argv[1]};
    const auto folder = stage::temporary_folder();
    const std::vector<std::string> zones{"bogota-a", "bogota-b", "medellin-c"};
    const int base = stage::free_ports(8, {"127.0.0.1", "127.0.11.1", "127.0.12.1", "127.0.13.1", "127.0.21.1"});
    stage::store store{"127.0.20.1", static_cast<std::uint16_t>(base)};
    std::vector<std::unique_ptr<stage::engine>> engines;
    std::atomic<bool> end{false};
    std::vector<std::thread> threads;
    for (int n = 0; n != 6; ++n)
    {
        const auto id = "i-dictamen-" + std::to_string(n + 1) + "-1";
        engines.push_back(std::make_unique<stage::engine>(id, "127.0.21." + std::to_string(n + 1),
                                                          static_cast<std::uint16_t>(base), 80));
        auto& self = *engines.back();
        self.act = [&, n](stage::engine& it, stage::connection& conn, const stage::http_request& req)
        {
            const bool has_part = req.field("X-Prefix-Hash").find(part) != std::string::npos;
            if (has_part)
            {
                const std::lock_guard lock{mutex};
                arrivals.push_back({req.field("X-Attempt-Id"), stage::now_ms()});
            }
            stage::sleep_ms(it.work_ms);
            conn.write("HTTP/1.1 200 OK\r\n" + it.answer_fields(req) +
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            const auto chunk = [&](const std::string& text)
            {
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                return conn.write(size + text + "\r\n");
            };
            if (has_part && trouble)
            {
                if (mode == "event")
                {
                    chunk("id: 1\ndata: one\n\n");
                }
                else if (mode == "partial")
                {
                    chunk("id: 1\nda");
                }
                stage::sleep_ms(20);
                if (it.up_.exchange(false))
                {
                    {
                        const std::lock_guard lock{mutex};
                        crashes.push_back(stage::now_ms());
                    }
                    out.line("crash of " + it.id() + " on " + req.field("X-Attempt-Id"));
                    it.stop();
                }
                return;
            }
            for (int event = 1; event <= 3; ++event)
            {
                chunk("id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n");
                stage::sleep_ms(20);
            }
            conn.write("0\r\n\r\n");
        };
        store.put("servers", id, self.entry("dictamen", zones[static_cast<std::size_t>(n) / 2]));
        // The platform starts an engine that has crashed again, under a new id.
        threads.emplace_back(
            [&, n]
            {
                for (int boot = 2; !end;)
                {
                    if (self.up_)
                    {
                        stage::sleep_ms(5);
                        continue;
                    }
                    const auto old = self.id();
                    stage::sleep_ms(down_ms);
                    if (end)
                    {
                        return;
                    }
                    self.start("i-dictamen-" + std::to_string(n + 1) + "-" + std::to_string(boot++));
                    store.put("servers", self.id(), self.entry("dictamen", zones[static_cast<std::size_t>(n) / 2]));
                    store.remove("servers", old);
                    out.line("start of " + self.id());
                }
            });
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
    stage::sleep_ms(2000);
    std::mt19937 random{7};
    std::vector<std::thread> callers;
    const auto call = [&](bool deadly)
    {
        const auto id = stage::unique_id();
        const auto router = random() % fleet.size();
        std::size_t slot = 0;
        {
            const std::lock_guard lock{mutex};
            slot = requests.size();
            requests.push_back({id, deadly, stage::now_ms()});
        }
        callers.emplace_back(
            [&, id, router, slot, deadly]
            {
                stage::client conn{fleet.frontend(router)};
                stage::http_request req{"POST", "/review/7", "prompt of " + id, {}};
                req.fields = {{"Host", "desk.example"},
                              {"X-Attempt-Id", id},
                              {"X-Model", "m"},
                              {"X-Token-Count", "1460,24"},
                              {"X-Prefix-Hash", std::string{"5c1e07a2:800,"} + (deadly ? part : "91bd3f06") + ":410," + id.substr(8) + ":250"},
                              {"X-Deadline-Ms", "12000"},
                              {"Authorization", "Bearer key-1"}};
                const auto result = conn.send(req, 12500);
                const std::lock_guard lock{mutex};
                auto& it = requests[slot];
                it.status = result.status;
                it.began = result.status == 200 && result.body.find("id: 1\n") != std::string::npos;
                it.complete = result.status == 200 && result.complete;
                out.line("answered " + id + (deadly ? " with the part" : " sound") + " router=" + std::to_string(router) +
                         " status=" + std::to_string(result.status) + (result.complete ? " complete" : " not complete " + result.error));
            });
    };
    const auto from = stage::now_ms();
    const auto trouble_at = from + baseline_ms;
    const auto until = trouble_at + trouble_ms;
    double next_sound = from;
    double next_deadly = trouble_at;
    while (stage::now_ms() < until)
    {
        if (stage::now_ms() >= next_sound)
        {
            call(false);
            next_sound += sound_gap_ms;
        }
        if (stage::now_ms() >= next_deadly)
        {
            for (int n = 0; n != (mode == "burst" ? burst_size : 1); ++n)
            {
                call(true);
            }
            next_deadly += mode == "burst" ? burst_gap_ms : deadly_gap_ms;
        }
        stage::sleep_ms(2);
    }
    stage::sleep_ms(1000);
    end = true;
    for (auto& it : threads)
    {
        it.join();
    }
    for (auto& it : callers)
    {
        it.join();
    }
    fleet.stop_all();
    std::size_t late = 0;
    std::size_t cut = 0;
    const bool fifth = crashes.size() >= 5;
    const auto fifth_at = fifth ? crashes[4] : 0;
    for (const auto& it : arrivals)
    {
        out.line("with the part, at an engine: " + it.id + " " + std::to_string(it.at));
    }
    struct tally
    {
        std::size_t sent{0}, began{0};
    } before, after;
    for (const auto& it : requests)
    {
        if (it.deadly)
        {
            const bool ran = std::any_of(arrivals.begin(), arrivals.end(), [&](const auto& run) { return run.id == it.id; });
            late += fifth && ran && it.at > fifth_at + contact_ms ? 1 : 0;
            continue;
        }
        auto& sum = it.at < trouble_at - 1000 ? before : after;
        if (it.at < trouble_at - 1000 || (fifth && it.at > fifth_at + 2 * contact_ms))
        {
            ++sum.sent;
            sum.began += it.began ? 1 : 0;
        }
        cut += it.at > trouble_at && !it.complete ? 1 : 0;
    }
    const auto share = [](const tally& it) { return it.sent == 0 ? 0.0 : static_cast<double>(it.began) / static_cast<double>(it.sent); };
    const bool budget = late > allowed;
    const bool lost = fifth && before.sent >= 20 && after.sent >= 20 && share(after) < share(before) / 2;
    const auto text = "crashes: " + std::to_string(crashes.size()) + "; requests with the part that reached engines, sent later than contact_ms after the fifth crash: " +
                      std::to_string(late) + " (allowed " + std::to_string(allowed) + "); sound requests that began: before " +
                      std::to_string(before.began) + " of " + std::to_string(before.sent) + ", from 2 x contact_ms after the fifth crash " +
                      std::to_string(after.began) + " of " + std::to_string(after.sent) + "; sound requests without a complete answer: " +
                      std::to_string(cut) + "; BUDGET " + (budget ? "broken" : "held") + ", LOST " + (lost ? "broken" : "held");
    out.line(text);
    std::cout << text << std::endl;
    stage::finish(fleet, folder, budget || lost ? 1 : 0);
}
