// Requests of the soak as bytes: all follows from a request's id, so that whoever sees the id knows
// what belongs to it.
#ifndef MANGOVANE_SOAK_CALL_TEXT_HPP
#define MANGOVANE_SOAK_CALL_TEXT_HPP

#include <cstdint>
#include <string>

#include "soak/evidence.hpp"

namespace mangovane::soak
{

inline constexpr std::uint32_t stream_events = 6;

/// The first configuration has no route of its own.
inline constexpr std::uint64_t first_added_route = 2;

/// `KIND-CALLER-NUMBER`; of probes the kind is followed by the version that they ask for.
[[nodiscard]] std::string
make_request_id(call_kind kind, std::uint64_t version, std::size_t caller, std::uint64_t number);

[[nodiscard]] std::string target_of(const std::string& request);
[[nodiscard]] std::string body_of(const std::string& request);

/// Body of a whole answer.
[[nodiscard]] std::string answer_of(call_kind kind, const std::string& request);

} // namespace mangovane::soak

#endif
