// Runs the coordinators of all instances of a fleet in one thread on a simulated clock. Messages
// are encoded as on the wire, but there are no sockets; engines respond after a fixed time.
#ifndef MANGOVANE_BENCH_CONTROL_FLEET_HPP
#define MANGOVANE_BENCH_CONTROL_FLEET_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "bench/control_meter.hpp"
#include "bench/fleet_settings.hpp"
#include "mangovane/routing/coordinator.hpp"

namespace mangovane::bench
{

struct control_load
{
    double requests_per_s{40}; ///< Of the whole fleet.
    milliseconds response_time{4000};
    bool warm{true};     ///< Engines pass their cold start on short responses first.
    seconds warm_up{40}; ///< Not measured; several times the response time.
    seconds measured{10};
};

/// Counts the requests of a run by how they ended.
struct control_outcome
{
    std::uint64_t started{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t attempts{0};

    auto operator<=>(const control_outcome&) const = default;
};

class control_fleet
{
public:
    control_fleet(const fleet_shape& shape, const control_load& load);
    ~control_fleet();

    /// Runs the warm-up and then the measurement.
    void run();

    [[nodiscard]] const control_meter& meter() const noexcept { return meter_; }
    [[nodiscard]] const control_outcome& outcome() const noexcept { return outcome_; }
    [[nodiscard]] std::size_t running() const;

private:
    class sink;
    class port;

    /// Messages to one peer that are queued for the next frame.
    struct batch
    {
        std::vector<message> messages;
    };

    struct node
    {
        member self;
        std::unique_ptr<sink> out;
        std::unique_ptr<coordinator> core;
        absl::flat_hash_map<instance_id, batch> batches;
    };

    struct event
    {
        time_point at;
        std::uint64_t sequence; ///< Orders events of the same time.
        std::function<void()> run;

        bool operator>(const event& other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    void start_nodes();
    void schedule(duration in, std::function<void()> task);
    void enqueue(std::size_t from, const outgoing_message& msg);
    void flush(std::size_t from, instance_id to);
    void tick(std::size_t n);
    void poll(std::size_t n);
    void on_arrival();
    [[nodiscard]] routed_request make_request();
    [[nodiscard]] std::uint64_t next_random();
    [[nodiscard]] double next_uniform();

    fleet_shape shape_;
    control_load load_;
    endpoints_ptr endpoints_;
    control_meter meter_;
    control_outcome outcome_;
    bool measuring_{false};
    time_point now_{seconds{1000}};
    time_point started_at_{now_};
    std::uint64_t sequence_{0};
    std::uint64_t random_sequence_{0};
    std::uint64_t chats_{0}; ///< Number of chats started.
    std::vector<node> nodes_;
    absl::flat_hash_map<instance_id, std::size_t> indexes_;
    absl::flat_hash_map<endpoint_id, std::uint32_t> in_flight_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
};

} // namespace mangovane::bench

#endif
