// Gathers what callers, endpoints and the operator see, from many threads.
#ifndef MANGOVANE_SOAK_HISTORY_HPP
#define MANGOVANE_SOAK_HISTORY_HPP

#include <mutex>
#include <utility>
#include <vector>

#include "soak/evidence.hpp"

namespace mangovane::soak
{

class history
{
public:
    void add(call_record it) { calls_.add(std::move(it)); }
    void add(arrival it) { arrivals_.add(std::move(it)); }
    void add(operator_change it) { changes_.add(std::move(it)); }

    /// Begins and ends a disturbance.
    [[nodiscard]] std::size_t begin(subject about, bool planned)
    {
        const std::lock_guard lock{outage_mutex_};
        return outages_.begin(about, planned, clock::now());
    }
    void end(std::size_t number)
    {
        const std::lock_guard lock{outage_mutex_};
        outages_.end(number, clock::now());
    }

    /// A disturbance that is over.
    void add_outage(subject about, time_point from, time_point until)
    {
        const std::lock_guard lock{outage_mutex_};
        outages_.end(outages_.begin(about, false, from), until);
    }

    /// All that was seen so far; the runs come from the endpoints.
    [[nodiscard]] evidence collect(std::vector<run_record> runs) const
    {
        evidence result{calls_.all(), std::move(runs), arrivals_.all(), changes_.all(), {}};
        const std::lock_guard lock{outage_mutex_};
        result.outages = outages_;
        return result;
    }

    [[nodiscard]] std::vector<call_record> calls() const { return calls_.all(); }

private:
    /// A list under its own lock.
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
    mutable std::mutex outage_mutex_;
    outage_log outages_; ///< Guarded by `outage_mutex_`.
};

} // namespace mangovane::soak

#endif
