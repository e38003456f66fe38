// The row of an engine that is a process of its own.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "http.hpp"

namespace stage
{

using std::chrono::milliseconds;

/// What an engine process is told on its command line.
struct engine_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    std::string store;
    int events{0};
    milliseconds interval{0};
};

/// The engine leaves: it reports `draining`.
inline std::atomic<bool> leaving{false};

inline void write_row(const engine_options& it, long born, int sequence)
{
    const std::string body =
        "{\"service\":\"" + it.service + "\",\"address\":\"" + it.address + "\",\"zone\":\"" +
        it.zone + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" +
        (leaving ? "draining" : "ready") + "\",\"warmup_left_ms\":0," +
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

/// Writes the row each heartbeat; does not return.
[[noreturn]] inline void keep_row(const engine_options& it)
{
    constexpr milliseconds heartbeat{1200};
    constexpr milliseconds step{20};
    const auto born = static_cast<long>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    for (int n = 1;; ++n)
    {
        const bool left = leaving;
        write_row(it, born, n);
        for (auto slept = milliseconds{0}; slept < heartbeat && left == leaving; slept += step)
        {
            std::this_thread::sleep_for(step);
        }
    }
}

} // namespace stage
