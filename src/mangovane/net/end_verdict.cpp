// Implementation of the decision on the end of a response.
#include "mangovane/net/end_verdict.hpp"

#include <algorithm>
#include <array>
#include <span>

namespace mangovane
{

namespace
{

/// Whether the end came together with the last bytes. A process that closes the connection after
/// its response sends both at once; the end of a process falls into the pause between two writes.
bool came_with_last_bytes(const response_end& end) noexcept
{
    const auto& it = end.connection;
    return !end.held_back && it.silent_for - it.unheard_for <= end.max_gap;
}

/// Whether another response of the process broke off at the same time: its connection ended in the
/// middle of a pause.
bool any_broke_off(const response_end& end, std::span<const connection_sample> others)
{
    constexpr milliseconds same_time{20};
    return std::ranges::any_of(others,
                               [&](const connection_sample& it)
                               {
                                   const auto apart = it.unheard_for - end.connection.unheard_for;
                                   const bool together = apart <= same_time && apart >= -same_time;
                                   return !it.idle && !it.established && !it.reset && together &&
                                          it.silent_for - it.unheard_for > end.max_gap;
                               });
}

/// Whether the process was there after the end. A refusal outweighs a liveness connection, whose
/// end may be lost on the way, unless the endpoint leaves and has closed its listener therefore.
bool process_lives(const end_observation& seen)
{
    if (seen.connect == connect_outcome::refused)
    {
        return seen.shown_by_request || (seen.shown_by_liveness && seen.leaving);
    }
    const auto sign = sign_of(seen.end.connection, seen.others);
    const bool open = std::ranges::any_of(seen.others,
                                          [&](const connection_sample& it)
                                          {
                                              return !it.idle && it.established && it.unread == 0 &&
                                                     were_open_together(seen.end.connection, it);
                                          });
    return sign == process_sign::lives || (sign == process_sign::none && open);
}

/// Whether the response is complete if its process is not known to be there.
end_verdict judge_end_without_process(const end_observation& seen)
{
    const auto sign = sign_of(seen.end.connection, seen.others);
    const bool refused = seen.connect == connect_outcome::refused;
    const bool ended = refused || sign == process_sign::ended;
    const bool together = came_with_last_bytes(seen.end);
    if (!ended)
    {
        return together ? end_verdict{true, false, end_reason::ended_with_response}
                        : end_verdict{false, false, end_reason::ended_after_response};
    }
    if (seen.may_have_left && together && !any_broke_off(seen.end, seen.others))
    {
        return {true, false, end_reason::left_after_response};
    }
    const bool crashed = !seen.may_have_left && sign != process_sign::lives;
    const auto reason =
        sign == process_sign::ended ? end_reason::process_ended : end_reason::refuses;
    return {false, crashed, reason};
}

} // namespace

std::string_view name_of(end_reason reason) noexcept
{
    constexpr std::array<std::string_view, 7> names{
        "process_lives", "ended_with_response", "left_after_response", "reset", "process_ended",
        "refuses",       "ended_after_response"};
    return names[static_cast<std::size_t>(reason)];
}

end_verdict judge_end(const end_observation& seen)
{
    auto result = process_lives(seen) ? end_verdict{true, false, end_reason::process_lives}
                                      : judge_end_without_process(seen);
    if (seen.end.connection.reset)
    {
        result.complete = false;
        result.reason = end_reason::reset;
    }
    return result;
}

} // namespace mangovane
