// What admission knows of a request and of a service, and what it decides.
#ifndef MANGOVANE_ADMISSION_ADMISSION_REQUEST_HPP
#define MANGOVANE_ADMISSION_ADMISSION_REQUEST_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

struct admission_request
{
    std::uint64_t ticket{0}; ///< Identifies the request at this instance.
    account_id account;
    std::uint8_t urgency{5}; ///< 0 is the most urgent, 9 the least.
    bool returned{false};    ///< It was refused before and has come back.
    std::uint64_t bytes{0};  ///< That the instance holds while it waits.
    double cost{1};          ///< Use of the service that is charged to the account.
    time_point arrived_at;
    time_point start_by; ///< Started later, its response cannot be in time.
    /// The same for all attempts of a caller at one request; 0: it cannot be recognised.
    std::uint64_t identity{0};

    auto operator<=>(const admission_request&) const = default;
};

/// Room of a service as this instance knows it.
struct admission_room
{
    double slots{0};             ///< Requests that its endpoints can process at a time.
    double free{0};              ///< Requests that its endpoints can take now; negative: overload.
    double completions_per_s{0}; ///< Over all instances.
    /// Part of the room that this instance may use without knowing what the others do, 0 to 1.
    double share{1};

    auto operator<=>(const admission_room&) const = default;
};

enum class admission_verdict : std::uint8_t
{
    send,   ///< Send the request now.
    wait,   ///< Ask again; the request has a place in the queue until `at`.
    refuse, ///< Refuse it now; the caller may come back at `at`.
};

/// Why a request was refused, for logs and metrics.
enum class admission_reason : std::uint8_t
{
    none,
    too_late, ///< Its turn would come after the time by which it has to start.
    queue_full,
    displaced, ///< A request that goes first took its place.
};

inline constexpr std::size_t admission_reason_count = 4;

/// Name in logs and metrics.
[[nodiscard]] constexpr std::string_view name_of(admission_reason reason) noexcept
{
    constexpr std::array<std::string_view, admission_reason_count> names{"none", "too_late",
                                                                         "queue_full", "displaced"};
    return names[static_cast<std::size_t>(reason)];
}

inline constexpr std::array<admission_reason, admission_reason_count - 1> admission_refusal_reasons{
    admission_reason::too_late, admission_reason::queue_full, admission_reason::displaced};

struct admission_decision
{
    admission_verdict verdict{admission_verdict::send};
    admission_reason reason{admission_reason::none};
    time_point at{}; ///< See the verdict; zero for `send`.

    auto operator<=>(const admission_decision&) const = default;
};

/// The decision on a request that arrives, with what it was based on, for logs.
struct admission_answer
{
    admission_decision decision;
    std::uint64_t ticket{0};
    std::uint32_t place{0}; ///< Requests that wait, with this one.
    double free{0};         ///< Requests that the service can take now; negative: overload.
    duration age{};         ///< Of what is known of the other instances' requests.

    auto operator<=>(const admission_answer&) const = default;
};

} // namespace mangovane

#endif
