// Passes on what happens to requests, and records it while the process is young.
#ifndef MANGOVANE_OBSERVE_STARTUP_OBSERVER_HPP
#define MANGOVANE_OBSERVE_STARTUP_OBSERVER_HPP

#include <string_view>

#include "mangovane/observe/event_log.hpp"
#include "mangovane/observe/forwarding_observer.hpp"
#include "mangovane/observe/startup_record.hpp"

namespace mangovane
{

class startup_observer final : public forwarding_observer
{
public:
    /// All references outlive the observer.
    startup_observer(request_observer& next, startup_record& record, event_log& log)
        : forwarding_observer{next}, record_{record}, log_{log}
    {}

    void on_request_end(const request_record& record) override;
    void on_early_refusal(error_kind kind) override;

    /// Records a step, and logs it the first time.
    void reach(startup_step step, time_point now);

    /// Logs the seconds that are over. Called several times a second.
    void tick(time_point now);

private:
    void count(std::string_view outcome);

    startup_record& record_;
    event_log& log_;
};

} // namespace mangovane

#endif
