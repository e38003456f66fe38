// One or two coordinators whose messages are encoded and decoded as between processes. The first
// instance accepts requests; the last owns all endpoints.
#ifndef MANGOVANE_BENCH_COORDINATOR_GROUP_HPP
#define MANGOVANE_BENCH_COORDINATOR_GROUP_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "bench/fleet_settings.hpp"
#include "mangovane/routing/coordinator.hpp"

namespace mangovane::bench
{

class coordinator_group
{
public:
    coordinator_group(settings_ptr settings, endpoints_ptr endpoints, std::size_t instances);
    ~coordinator_group();

    /// Advances the clock and ticks all instances every 50 ms.
    void advance(milliseconds time);

    /// Runs one request to completion. Returns false if it got no response.
    bool run_request(std::uint64_t chat);

    /// Starts a request and leaves it running, so that it holds its slot.
    void hold_request(std::uint64_t chat);

    [[nodiscard]] coordinator& front() { return *nodes_.front().core; }
    [[nodiscard]] time_point now() const noexcept { return now_; }
    [[nodiscard]] std::uint64_t messages() const noexcept { return messages_; }

private:
    class sink;
    class port;

    struct node
    {
        instance_id id;
        std::unique_ptr<sink> out;
        std::unique_ptr<coordinator> core;
    };

    struct packet
    {
        std::size_t from;
        instance_id to;
        message body;
    };

    void add_node(std::size_t n, const settings_ptr& settings, const endpoints_ptr& endpoints);
    void deliver();
    [[nodiscard]] std::shared_ptr<port> start(std::uint64_t chat);

    std::size_t instances_;
    time_point now_{seconds{1000}};
    std::uint64_t messages_{0};
    std::deque<packet> packets_;
    std::vector<node> nodes_;
    std::vector<std::shared_ptr<port>> held_;
};

} // namespace mangovane::bench

#endif
