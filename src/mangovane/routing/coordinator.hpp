// The decisions of one instance: composes its aggregates, routes events to request flows and
// messages to aggregates. It knows no sockets, clock or randomness.
#ifndef MANGOVANE_ROUTING_COORDINATOR_HPP
#define MANGOVANE_ROUTING_COORDINATOR_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/membership/member_table.hpp"
#include "mangovane/routing/message_sink.hpp"
#include "mangovane/routing/request_flow.hpp"
#include "mangovane/routing/request_port.hpp"
#include "mangovane/settings/registry.hpp"

namespace mangovane
{

struct coordinator_options
{
    member self;
    detector_timing timing;
    std::uint64_t seed{1};
    std::size_t chat_capacity{1U << 20U}; ///< Chats remembered by this instance.

    bool operator==(const coordinator_options&) const = default;
};

class coordinator
{
public:
    /// The sink outlives the coordinator.
    coordinator(coordinator_options options, message_sink& sink, time_point now);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    /// Puts settings in force if they are newer.
    adopt_result adopt_settings(settings_ptr settings, time_point now);

    /// The platform's list of endpoints and instances.
    void on_platform_list(const std::vector<listed_instance>& instances,
                          endpoints_ptr endpoints,
                          time_point now);

    /// Accepts a request; its port is called until `answer` or `end`. Returns the number for
    /// `on_event`.
    std::uint64_t start(routed_request request, std::shared_ptr<request_port> port, time_point now);

    void on_event(std::uint64_t number, const flow_event& event, time_point now);

    [[nodiscard]] settings_registry& settings() noexcept { return settings_; }
    [[nodiscard]] routing_table_ptr routes() const;
    [[nodiscard]] view_ptr view() const;

    /// Requests accepted and not ended.
    [[nodiscard]] std::size_t running() { return flows_.size(); }

private:
    struct running_flow
    {
        request_flow flow;
        std::shared_ptr<request_port> port;
    };

    void perform(std::uint64_t number,
                 const std::shared_ptr<request_port>& port,
                 const flow_actions& actions,
                 time_point now);
    void rebuild_routes();

    coordinator_options options_;
    [[maybe_unused]] message_sink& sink_;
    settings_registry settings_;
    std::unique_ptr<placement_strategy> strategy_;
    std::unique_ptr<retry_gate> retries_;
    mutable std::mutex mutex_;
    endpoints_ptr endpoints_;  ///< Never null. Guarded by `mutex_`.
    routing_table_ptr routes_; ///< Never null. Guarded by `mutex_`.
    view_ptr view_;            ///< Never null. Guarded by `mutex_`.
    std::atomic<std::uint64_t> next_number_{1};
    sharded_map<std::uint64_t, running_flow, 64> flows_;
};

} // namespace mangovane

#endif
