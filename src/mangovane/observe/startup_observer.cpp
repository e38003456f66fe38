// Implementation of the startup observer.
#include "mangovane/observe/startup_observer.hpp"

namespace mangovane
{

void startup_observer::on_request_end(const request_record& record)
{
    count(record.outcome);
    forwarding_observer::on_request_end(record);
}

void startup_observer::on_early_refusal(error_kind kind)
{
    count(descriptor_of(kind).name);
    forwarding_observer::on_early_refusal(kind);
}

void startup_observer::count(std::string_view outcome)
{
    const auto now = clock::now();
    record_.count(outcome, now);
    reach(startup_step::request_ended, now);
    if (is_served(outcome))
    {
        reach(startup_step::request_served, now);
    }
}

void startup_observer::reach(startup_step step, time_point now)
{
    if (const auto line = record_.reach(step, now))
    {
        log_.write(*line, now);
    }
}

void startup_observer::tick(time_point now)
{
    for (const auto& it : record_.take_lines(now))
    {
        log_.write(it, now);
    }
}

} // namespace mangovane
