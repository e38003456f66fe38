// A fake endpoint for stateful tests. Its list of runs is the actual load and execution state that
// the oracle compares with the records of the instances.
#ifndef MANGOVANE_TEST_STATEFUL_FAKE_ENGINE_HPP
#define MANGOVANE_TEST_STATEFUL_FAKE_ENGINE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "mangovane/membership/endpoint.hpp"
#include "mangovane/routing/flow_event.hpp"

namespace mangovane::test
{

/// One execution of a call at an engine.
struct engine_run
{
    attempt_id attempt;
    std::uint64_t call{0};
    std::size_t node{0};     ///< Instance that sent it.
    incarnation epoch{0};    ///< Of that instance.
    std::uint64_t number{0}; ///< Request number at that instance.
    time_point ends_at;
    bool response_lost{false}; ///< The connection breaks before the response.
    bool mismatched_id{false}; ///< The response has the id of another attempt.
};

struct fake_engine
{
    endpoint_info info;
    std::string domain;
    bool up{true};
    bool leaving{false};
    bool reset_next{false};    ///< The next call runs, but its connection is reset.
    bool mismatch_next{false}; ///< The next response has the id of another attempt.
    incarnation epoch{1};
    time_point cold_since;
    time_point left_at{time_point::max()};
    std::vector<engine_run> runs;

    [[nodiscard]] std::uint32_t in_flight() const
    {
        return static_cast<std::uint32_t>(runs.size());
    }
};

} // namespace mangovane::test

#endif
