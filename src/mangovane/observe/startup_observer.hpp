// Passes on what happens to requests, and records it while the process is young.
#ifndef MANGOVANE_OBSERVE_STARTUP_OBSERVER_HPP
#define MANGOVANE_OBSERVE_STARTUP_OBSERVER_HPP

#include <string_view>

#include "mangovane/observe/event_log.hpp"
#include "mangovane/observe/request_record.hpp"
#include "mangovane/observe/startup_record.hpp"

namespace mangovane
{

class startup_observer final : public request_observer
{
public:
    /// All references outlive the observer.
    startup_observer(request_observer& next, startup_record& record, event_log& log)
        : next_{next}, record_{record}, log_{log}
    {}

    void on_request_end(const request_record& record) override;
    void on_early_refusal(error_kind kind) override;
    void on_dropped_answer() override { next_.on_dropped_answer(); }
    void on_failed_attempt(std::string_view result) override { next_.on_failed_attempt(result); }
    void on_caller_stall() override { next_.on_caller_stall(); }
    void on_session_end(std::string_view reason) override { next_.on_session_end(reason); }
    void on_request_cut(const cut_request& request) override { next_.on_request_cut(request); }

    /// Records a step, and logs it the first time.
    void reach(startup_step step, time_point now);

    /// Logs the seconds that are over. Called several times a second.
    void tick(time_point now);

private:
    void count(std::string_view outcome);

    request_observer& next_;
    startup_record& record_;
    event_log& log_;
};

} // namespace mangovane

#endif
