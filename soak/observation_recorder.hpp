// Thread-safe recorder of the observations of a run.
#ifndef MANGOVANE_SOAK_OBSERVATION_RECORDER_HPP
#define MANGOVANE_SOAK_OBSERVATION_RECORDER_HPP

#include <mutex>
#include <utility>
#include <vector>

#include "soak/run_observations.hpp"

namespace mangovane::soak
{

class observation_recorder
{
public:
    void add(call_record it) { calls_.add(std::move(it)); }
    void add(arrival it) { arrivals_.add(std::move(it)); }
    void add(operator_change it) { changes_.add(std::move(it)); }
    void add(process_end it) { process_ends_.add(it); }
    void add(uncontrolled_period it) { uncontrolled_.add(it); }
    void add(rollout_order it) { rollouts_.add(std::move(it)); }
    void add(status_change it) { status_changes_.add(std::move(it)); }

    /// Begins and ends an outage.
    [[nodiscard]] std::size_t begin(disturbed_component affected, bool planned)
    {
        const std::lock_guard lock{outage_mutex_};
        return outages_.begin(affected, planned, clock::now());
    }
    void end(std::size_t number)
    {
        const std::lock_guard lock{outage_mutex_};
        outages_.end(number, clock::now());
    }

    /// Adds an outage that has ended.
    void add_outage(disturbed_component affected, time_point from, time_point until)
    {
        const std::lock_guard lock{outage_mutex_};
        outages_.end(outages_.begin(affected, false, from), until);
    }

    /// The observations so far. The endpoints record the executions, so the caller passes
    /// them in.
    [[nodiscard]] run_observations collect(std::vector<execution_record> executions) const
    {
        run_observations result{
            calls_.all(),        std::move(executions), arrivals_.all(), changes_.all(),       {},
            process_ends_.all(), uncontrolled_.all(),   rollouts_.all(), status_changes_.all()};
        const std::lock_guard lock{outage_mutex_};
        result.outages = outages_;
        return result;
    }

    [[nodiscard]] std::vector<call_record> calls() const { return calls_.all(); }

private:
    /// A list with its own lock.
    template <class Record>
    class shared_list
    {
    public:
        void add(Record it)
        {
            const std::lock_guard lock{mutex_};
            records_.push_back(std::move(it));
        }
        [[nodiscard]] std::vector<Record> all() const
        {
            const std::lock_guard lock{mutex_};
            return records_;
        }

    private:
        mutable std::mutex mutex_;
        std::vector<Record> records_; ///< Guarded by `mutex_`.
    };

    shared_list<call_record> calls_;
    shared_list<arrival> arrivals_;
    shared_list<operator_change> changes_;
    shared_list<process_end> process_ends_;
    shared_list<uncontrolled_period> uncontrolled_;
    shared_list<rollout_order> rollouts_;
    shared_list<status_change> status_changes_;
    mutable std::mutex outage_mutex_;
    outage_log outages_; ///< Guarded by `outage_mutex_`.
};

} // namespace mangovane::soak

#endif
