// Carries out the plan of a run: begins and ends each fault, and records whom it disturbs.
#ifndef MANGOVANE_SOAK_FAULT_INJECTOR_HPP
#define MANGOVANE_SOAK_FAULT_INJECTOR_HPP

#include <optional>
#include <vector>

#include "soak/deployment.hpp"
#include "soak/fault_plan.hpp"

namespace mangovane::soak
{

class fault_injector
{
public:
    /// Both outlive it.
    fault_injector(deployment& fleet, history& seen, fault_plan plan);

    /// Begins and ends what is due. Returns whether anything is left.
    bool advance(time_point now, time_point start);

private:
    /// A fault that has begun.
    struct running
    {
        fault_event event;
        std::size_t router{0};     ///< That it hits, if it hits one.
        endpoint* target{nullptr}; ///< Likewise.
        std::optional<std::size_t> outage;
        bool skipped{false}; ///< It would have left too little, or hit what is hit already.
    };

    /// A router that gets a new process: once the old one has ended, and until the new one is
    /// ready.
    struct restart
    {
        std::size_t router{0};
        std::optional<std::size_t> outage;
        bool started{false};
    };

    /// How a kind begins and ends.
    struct fault_rule
    {
        void (fault_injector::*begin)(running&);
        void (fault_injector::*end)(running&);
    };

    static const std::array<fault_rule, fault_kind_count> rules;

    void kill_router(running& it);
    void pause_router(running& it);
    void stop_router(running& it);
    void hang_up(running& it);
    void restart_router(running& it);
    void continue_router(running& it);
    void cut_store(running& it);
    void cut_peers(running& it);
    void delay_peers(running& it);
    void reset_links(running& it);
    void silence_links(running& it);
    void heal_links(running& it);
    void store_down(running& it);
    void store_silent(running& it);
    void store_slow(running& it);
    void store_loses(running& it);
    void store_forgets(running& it);
    void heal_store(running& it);
    void endpoint_fails(running& it);
    void endpoint_crashes(running& it);
    void endpoint_slow(running& it);
    void endpoint_silent(running& it);
    void heal_endpoint(running& it);
    void configure(running& it);
    void add_cold_endpoint(running& it);
    void drain_endpoint(running& it);
    void end_endpoint(running& it);
    void take_domain_out(running& it);
    void take_domain_back(running& it);

    void hit_router(running& it, bool planned);
    void hit_store(running& it, standin::store_faults faults);
    void hit_endpoint(running& it);
    void end_outage(running& it);
    void go_on_with_restarts();
    [[nodiscard]] bool go_on(restart& it);

    deployment& fleet_;
    history& seen_;
    const fault_plan plan_;
    std::vector<running> running_;
    std::vector<restart> restarts_;
    std::size_t next_{0};            ///< First event of the plan that has not begun.
    std::vector<bool> busy_routers_; ///< Hit by a fault that has not ended.
    bool store_busy_{false};
    bool domain_out_{false};
};

} // namespace mangovane::soak

#endif
