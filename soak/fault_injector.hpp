// Executes the fault plan of a run: begins and ends each fault, and records the outages.
#ifndef MANGOVANE_SOAK_FAULT_INJECTOR_HPP
#define MANGOVANE_SOAK_FAULT_INJECTOR_HPP

#include <optional>
#include <vector>

#include "soak/busy_threads.hpp"
#include "soak/deployment.hpp"
#include "soak/fault_plan.hpp"
#include "soak/rollout_driver.hpp"
#include "soak/store_return.hpp"
#include "soak/uncontrolled_callers.hpp"

namespace mangovane::soak
{

class fault_injector
{
public:
    /// `fleet` and `recorder` must outlive the injector.
    fault_injector(deployment& fleet, observation_recorder& recorder, fault_plan plan);

    /// Begins and ends the faults that are due. Returns false when all have ended.
    bool advance(time_point now, time_point start);

    /// Stops all routers, as planned work.
    void stop_all_routers();

    /// A router's process that ended by itself.
    struct unexpected_exit
    {
        std::size_t router{0};
        int code{0};

        auto operator<=>(const unexpected_exit&) const = default;
    };
    [[nodiscard]] const std::vector<unexpected_exit>& unexpected_exits() const noexcept
    {
        return unexpected_exits_;
    }

private:
    /// A fault that has begun.
    struct active_fault
    {
        fault_event event;
        std::size_t router{0};     ///< Affected router, for kinds that have one.
        endpoint* target{nullptr}; ///< Affected endpoint, for kinds that have one.
        std::optional<std::size_t> outage;
        time_point begun_at{};
        bool skipped{false}; ///< The target already has a fault, or too few endpoints would remain.
    };

    /// Restart of a router. The new process starts after the old one has exited; the restart ends
    /// when the new one is ready.
    struct pending_restart
    {
        std::size_t router{0};
        std::optional<std::size_t> outage;
        bool started{false};
    };

    /// Functions that begin and end a fault of one kind.
    struct fault_rule
    {
        void (fault_injector::*begin)(active_fault&);
        void (fault_injector::*end)(active_fault&);
    };

    static const std::array<fault_rule, fault_kind_count> rules;

    void kill_router(active_fault& it);
    void pause_router(active_fault& it);
    void stop_router(active_fault& it);
    void hang_up(active_fault& it);
    void restart_router(active_fault& it);
    void continue_router(active_fault& it);
    void cut_store(active_fault& it);
    void cut_peers(active_fault& it);
    void delay_peers(active_fault& it);
    void reset_links(active_fault& it);
    void silence_links(active_fault& it);
    void restore_links(active_fault& it);
    void store_down(active_fault& it);
    void store_silent(active_fault& it);
    void store_slow(active_fault& it);
    void store_loses(active_fault& it);
    void store_forgets(active_fault& it);
    void restore_store(active_fault& it);
    void return_older_store(active_fault& it);
    void endpoint_fails(active_fault& it);
    void endpoint_breaks_off(active_fault& it);
    void endpoint_crashes(active_fault& it);
    void endpoint_slow(active_fault& it);
    void endpoint_silent(active_fault& it);
    void restore_endpoint(active_fault& it);
    void busy_cores(active_fault& it);
    void free_cores(active_fault& it);
    void call_burst(active_fault& it);
    void begin_uncontrolled_callers(active_fault& it);
    void end_uncontrolled_callers(active_fault& it);
    void configure(active_fault& it);
    void add_cold_endpoint(active_fault& it);
    void order_rollout(active_fault& it);
    void drain_endpoint(active_fault& it);
    void remove_endpoint(active_fault& it);
    void take_domain_out(active_fault& it);
    void take_domain_back(active_fault& it);

    /// Looks for routers whose process has ended without a signal of this object.
    void check_processes();

    /// Sends a signal that ends the process, and records it.
    void end_process(std::size_t router, int signal);
    void begin_router_fault(active_fault& it, bool planned);
    void begin_store_fault(active_fault& it, standin::store_faults faults);
    void begin_endpoint_fault(active_fault& it);
    /// Whether the router's process has been restarted and is not ready yet.
    [[nodiscard]] bool is_starting(std::size_t router) const;
    void end_outage(active_fault& it);
    void advance_restarts();
    [[nodiscard]] bool advance_restart(pending_restart& it);

    deployment& fleet_;
    observation_recorder& recorder_;
    const fault_plan plan_;
    std::vector<active_fault> active_faults_;
    std::vector<pending_restart> restarts_;
    std::size_t next_{0};               ///< Index of the first event that has not begun.
    std::vector<bool> faulted_routers_; ///< Routers with an active fault.
    std::vector<unexpected_exit> unexpected_exits_;
    std::optional<busy_threads> busy_;
    store_return store_return_;
    rollout_driver rollouts_;
    std::optional<uncontrolled_callers> uncontrolled_;
    bool store_faulted_{false};
    bool domain_out_{false};
};

} // namespace mangovane::soak

#endif
