// The coordinators of several instances on a simulated clock, with fake engines, table and network,
// and the oracle that checks all guarantees after every step. No threads, sockets or disks.
#ifndef MANGOVANE_TEST_STATEFUL_FLEET_HPP
#define MANGOVANE_TEST_STATEFUL_FLEET_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_engine.hpp"
#include "fake_table.hpp"
#include "mangovane/idempotency/claim_writer.hpp"
#include "mangovane/routing/coordinator.hpp"

namespace mangovane::test
{

/// Deliberate faults, one for each guarantee, to show that the oracle detects them.
enum class injected_fault : std::uint8_t
{
    none,
    ignore_bound,      ///< Owners use load_bound 8 and min_slots 40.
    ignore_ramp,       ///< Cold endpoints are treated as warm.
    ignore_domain_out, ///< Instances keep the domain list of their first settings.
    swap_responses,    ///< A caller receives the response of another call.
    false_not_run,     ///< Lost responses are reported as "not run".
    duplicate_claim,   ///< Every claim is acquired.
    ignore_leaving,    ///< The list never marks an endpoint as leaving.
    abort_on_shutdown, ///< Shutdown aborts running requests.
    stale_settings,    ///< An older version is applied.
};

/// The outcome that a caller received.
enum class call_outcome : std::uint8_t
{
    pending,              ///< No outcome yet.
    responded,            ///< The response of an engine.
    responded_from_claim, ///< The stored response of its idempotency key.
    rejected,             ///< An error of the router.
    aborted,              ///< An incomplete response or none.
};

/// One call and its outcome.
struct fleet_call
{
    std::uint64_t id{0};
    bool idempotent{false};
    std::string key;
    std::size_t node{0};
    call_outcome end{call_outcome::pending};
    error_kind kind{error_kind::internal};
    std::uint64_t response_of{0}; ///< Id of the call whose response was delivered.
    time_point deadline;
    std::uint32_t runs{0}; ///< Executions at engines.
    bool instance_killed{false};
};

class fleet_port;

/// One instance with its connection to the platform.
struct fleet_node
{
    std::string name;
    std::string domain;
    std::size_t index{0};
    instance_id id;
    incarnation epoch{1};
    bool alive{true};
    bool paused{false};
    bool leaving{false};
    time_point resumed_at{};
    std::unique_ptr<message_sink> sink;
    std::unique_ptr<coordinator> core;
    std::unique_ptr<fake_table> table;
    std::unique_ptr<claim_writer> claims;
    std::deque<std::function<void()>> inbox;                    ///< Not processed while paused.
    std::map<std::uint64_t, std::shared_ptr<fleet_port>> ports; ///< Running requests by number.
    std::uint64_t settings_version{0}; ///< Highest version observed at this instance.
    std::uint64_t control_bytes{0};
};

struct fleet_options
{
    std::vector<std::string> domains{"a", "b", "c"};
    std::size_t nodes{4};
    std::size_t engines{6};
    std::size_t services{2};
    injected_fault fault{injected_fault::none};
    std::uint64_t seed{1};
};

class fleet
{
public:
    explicit fleet(fleet_options options);
    ~fleet();

    // Commands.
    void advance(milliseconds time);
    void call(std::size_t node, bool idempotent, const std::string& key);
    void kill(std::size_t node);
    void replace(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    void shut_down(std::size_t node);
    void engine_down(std::size_t engine);
    void engine_up(std::size_t engine);
    void engine_cold(std::size_t engine);
    void engine_leave(std::size_t engine);
    void engine_return(std::size_t engine);
    void engine_reset_next(std::size_t engine);
    void engine_mismatch_next(std::size_t engine);
    void partition_domains(std::size_t lhs, std::size_t rhs);
    void partition_platform(std::size_t domain);
    void heal();
    void store(bool down, bool lose_responses, milliseconds delay);
    void change_settings(std::size_t domain, bool out);
    void stale_list(bool stale) { stale_list_ = stale; }

    /// Ends all faults and advances until the fleet has converged.
    void settle();

    /// Descriptions of the violated guarantees; empty if all hold.
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept
    {
        return violations_;
    }

    [[nodiscard]] std::size_t node_count() const noexcept { return nodes_.size(); }
    [[nodiscard]] std::size_t engine_count() const noexcept { return engines_.size(); }
    [[nodiscard]] std::size_t domain_count() const noexcept { return options_.domains.size(); }
    [[nodiscard]] const std::vector<fleet_call>& calls() const noexcept { return calls_; }
    [[nodiscard]] time_point now() const noexcept { return now_; }
    [[nodiscard]] fleet_node& node(std::size_t n) { return *nodes_[n]; }
    [[nodiscard]] const fake_engine& engine(std::size_t n) const { return engines_[n]; }

private:
    friend class fleet_port;
    friend class fleet_sink;

    struct packet
    {
        time_point at;
        std::size_t from;
        incarnation epoch;
        instance_id to;
        message body;
    };

    void start_node(fleet_node& node);
    [[nodiscard]] std::unique_ptr<coordinator> make_core(const fleet_node& node) const;
    void step();
    void deliver();
    void run_node(fleet_node& node);
    void run_engines();
    void poll_engines(fleet_node& node);
    void refresh_node(fleet_node& node);
    void send(std::size_t from, const outgoing_message& msg);
    void send_attempt_to(fleet_node& node,
                         std::uint64_t number,
                         std::uint64_t call,
                         const send_attempt& action);
    void
    schedule_completion(fleet_node& node, std::uint64_t number, time_point at, attempt_ended event);
    void complete_run(const fake_engine& engine, const engine_run& run);
    [[nodiscard]] std::uint64_t next_random();
    [[nodiscard]] bool is_connected(const std::string& lhs, const std::string& rhs) const;
    [[nodiscard]] std::string settings_text() const;
    void publish_settings();
    void record_violation(std::string text);

    // The oracle.
    void record_disruption() { disrupted_at_ = now_; }
    void check_run_started(const fake_engine& engine, const fleet_node& node, std::uint64_t id);
    void check_loads();
    [[nodiscard]] std::string describe_owners(const fake_engine& engine);
    void check_ramp(const fake_engine& engine);
    void check_calls();
    void check_call_outcome(const fleet_call& call);
    void update_settings_reachability();
    [[nodiscard]] std::map<std::uint64_t, owned_endpoint_status> owner_records();
    void check_settings();
    [[nodiscard]] std::uint32_t bound_of(const fake_engine& engine) const;

    /// Actual loads at one time.
    struct load_sample
    {
        time_point at;
        /// By service and by the domain that reaches the endpoints.
        std::map<std::pair<std::uint64_t, std::string>, service_load> loads;
        std::map<std::uint64_t, std::uint32_t> slots; ///< In flight by endpoint.
    };

    /// A completed attempt that is not yet delivered to the instance.
    struct attempt_completion
    {
        time_point at;
        std::size_t node;
        incarnation epoch;
        std::uint64_t number;
        attempt_ended event;
    };

    fleet_options options_;
    time_point now_{seconds{1000}};
    std::vector<std::unique_ptr<fleet_node>> nodes_;
    std::vector<fake_engine> engines_;
    std::vector<packet> packets_;
    std::set<std::pair<std::string, std::string>> partitions_;
    std::set<std::string> platform_partitions_;
    table_rows rows_;
    discovery_list list_;
    bool stale_list_{false};
    settings_ptr current_settings_;
    std::map<std::string, time_point> domains_out_; ///< With the time of the change.
    std::vector<fleet_call> calls_;
    std::map<std::string, std::uint32_t> runs_of_key_;
    std::vector<attempt_completion> completions_;
    std::size_t first_open_call_{0};
    std::deque<load_sample> samples_;
    time_point disrupted_at_{};
    /// By domain; absent: always reachable.
    std::map<std::string, time_point> settings_reachable_since_;
    std::uint64_t steps_{0};
    std::uint64_t random_sequence_{0};
    std::vector<std::string> violations_;
};

} // namespace mangovane::test

#endif
