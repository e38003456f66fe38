// A fake endpoint for stateful tests: runs calls for a time, refuses beyond its capacity while
// cold, and counts what it ran. It knows the truth that the oracle compares with.
#ifndef MANGOVANE_TEST_STATEFUL_FAKE_ENGINE_HPP
#define MANGOVANE_TEST_STATEFUL_FAKE_ENGINE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "mangovane/membership/endpoint.hpp"
#include "mangovane/routing/flow_event.hpp"

namespace mangovane::test
{

/// One run of a call at an engine.
struct engine_run
{
    attempt_id attempt;
    std::uint64_t call{0};
    std::size_t node{0};     ///< Instance that sent it.
    incarnation epoch{0};    ///< Of that instance.
    std::uint64_t number{0}; ///< Request number at that instance.
    time_point ends_at;
    bool lost_answer{false}; ///< The connection breaks before the answer.
    bool crossed{false};     ///< The answer carries another attempt's id.
};

struct fake_engine
{
    endpoint_info info;
    std::string domain;
    bool up{true};
    bool leaving{false};
    bool break_next{false}; ///< The next call runs, but its connection is reset.
    bool cross_next{false}; ///< The next answer carries another attempt's id.
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
