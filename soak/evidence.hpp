// What callers, endpoints and the operator saw in a run: the only base of the judgement.
#ifndef MANGOVANE_SOAK_EVIDENCE_HPP
#define MANGOVANE_SOAK_EVIDENCE_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/outage_log.hpp"

namespace mangovane::soak
{

/// Kinds of requests, each on a route of its own.
enum class call_kind : std::uint8_t
{
    grant,  ///< Plain, may run once.
    status, ///< Plain, may be repeated.
    review, ///< Stream that may run once.
    rights, ///< Stream that can be resumed.
    probe,  ///< Asks which configuration is in force, on the newest route.
};

[[nodiscard]] constexpr bool may_repeat(call_kind kind) noexcept
{
    return kind == call_kind::status || kind == call_kind::rights || kind == call_kind::probe;
}

/// A request as its caller saw it.
struct call_record
{
    std::string request; ///< Id.
    call_kind kind{call_kind::grant};
    std::size_t router{0};
    std::uint32_t boot{0}; ///< Starts of the router's process before this one.
    time_point written_at{};
    time_point ended_at{};
    unsigned status{0};   ///< 0: no head of an answer arrived.
    bool complete{false}; ///< The answer ended as its framing says.
    bool has_signature{false};
    bool body_matches{false}; ///< It is the whole body for this request.
    bool gave_up{false};      ///< The caller closed the connection, or waited no longer.
    std::uint64_t version{0}; ///< Of a probe: configuration that it asks for.

    auto operator<=>(const call_record&) const = default;
};

/// A request as an endpoint ran it.
struct run_record
{
    std::string request; ///< Id.
    std::string endpoint;
    std::string domain;
    time_point at{};
    bool as_sent{true}; ///< Target, body and account are the caller's, and its key was held back.

    auto operator<=>(const run_record&) const = default;
};

/// Load of an endpoint when a request arrived there.
struct arrival
{
    std::string endpoint;
    time_point at{};
    double load{0}; ///< Requests under way, this one not counted.
    double mean{0}; ///< Over the endpoints of the service that take new work.
    bool cold{false};

    auto operator<=>(const arrival&) const = default;
};

enum class change_kind : std::uint8_t
{
    configuration, ///< `version` is in force from then on.
    drain,         ///< An endpoint announces that it leaves.
    domain_out,    ///< A failure domain is taken out.
    domain_back,
};

/// A change that the store acknowledged.
struct operator_change
{
    change_kind kind{change_kind::configuration};
    std::string name; ///< Of the endpoint or failure domain.
    std::uint64_t version{0};
    time_point at{};

    auto operator<=>(const operator_change&) const = default;
};

struct evidence
{
    std::vector<call_record> calls; ///< In the order in which they ended.
    std::vector<run_record> runs;
    std::vector<arrival> arrivals;
    std::vector<operator_change> changes;
    outage_log outages;
};

} // namespace mangovane::soak

#endif
