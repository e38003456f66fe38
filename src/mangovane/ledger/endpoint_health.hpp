// Health of an endpoint, which its owner derives from polls and from the outcomes of requests.
#ifndef MANGOVANE_LEDGER_ENDPOINT_HEALTH_HPP
#define MANGOVANE_LEDGER_ENDPOINT_HEALTH_HPP

#include <cstdint>

#include "mangovane/core/time.hpp"
#include "mangovane/message/slot.hpp"

namespace mangovane
{

/// Outlier ejection. Without it, an endpoint that fails immediately looks idle and attracts
/// requests.
class endpoint_health
{
public:
    /// Records the result of a poll of the endpoint's load. Returns true when the endpoint is
    /// reachable again after it was ejected for failed polls.
    bool on_poll(bool answered) noexcept;

    /// Records the outcome of a request at the endpoint.
    void on_outcome(attempt_outcome outcome, time_point now) noexcept;

    /// Whether the endpoint gets no new requests now.
    [[nodiscard]] bool ejected(time_point now) const noexcept
    {
        return failed_polls_ >= poll_limit || now < ejected_until_;
    }

    auto operator<=>(const endpoint_health&) const = default;

private:
    static constexpr std::uint32_t poll_limit = 2;    ///< Failed polls in a row.
    static constexpr std::uint32_t failure_limit = 3; ///< Failed requests in a row.
    static constexpr milliseconds first_ejection{1000};
    static constexpr milliseconds longest_ejection{30000};

    std::uint32_t failed_polls_{0};
    std::uint32_t failures_{0};             ///< In a row.
    milliseconds ejection_{first_ejection}; ///< Duration of the next ejection: doubles with each,
                                            ///< and is reset by a success.
    time_point ejected_until_{};
};

} // namespace mangovane

#endif
