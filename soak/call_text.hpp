// Texts of the soak's requests and responses. All are derived from the request id, so that callers
// and endpoints can verify a message by its id alone.
#ifndef MANGOVANE_SOAK_CALL_TEXT_HPP
#define MANGOVANE_SOAK_CALL_TEXT_HPP

#include <cstdint>
#include <string>

#include "soak/run_observations.hpp"
#include "standin/fleet_engine.hpp"

namespace mangovane::soak
{

inline constexpr std::uint32_t stream_events = 6;

/// Events of a long stream. The pauses between them stay below the permitted gap of its route.
inline constexpr std::uint32_t long_stream_events = 24;

/// Version of the first configuration with a probe route; the initial one has none.
inline constexpr std::uint64_t first_added_route = 2;

/// Largest head of a request in runs with uncontrolled callers.
inline constexpr std::uint32_t uncontrolled_header_bytes = 65536;

/// Id of a request of an uncontrolled caller. It has a route of long work, and no caller checks its
/// response.
[[nodiscard]] std::string make_uncontrolled_id(std::size_t caller, std::uint64_t number);
[[nodiscard]] bool is_uncontrolled(const std::string& request);

/// `KIND-CALLER-NUMBER`; the version follows the kind for requests that depend on one.
[[nodiscard]] std::string
make_request_id(call_kind kind, std::uint64_t version, std::size_t caller, std::uint64_t number);

/// Kind of the request.
[[nodiscard]] call_kind kind_of(const std::string& request);

/// Work of the request at its endpoint. Long work is spread up to the timeout of its route, and a
/// quarter of it is short.
[[nodiscard]] standin::engine_work work_of(const std::string& request);

/// Deadline that the caller sends. With long work it is the timeout of the route, little more than
/// the work, or a fixed shorter one, which the work may exceed.
[[nodiscard]] milliseconds deadline_of(const std::string& request);

/// Whether an endpoint of a bad version answers the request with a failure, as it does with half of
/// them.
[[nodiscard]] bool fails_at_bad_version(const std::string& request);

[[nodiscard]] std::string target_of(const std::string& request);
[[nodiscard]] std::string body_of(const std::string& request);

/// Key that the caller sends.
[[nodiscard]] std::string key_of(const std::string& request);

/// Adds to the text of a configuration a route and a key that no other version has.
[[nodiscard]] std::string with_own_parts(std::string configuration, std::uint64_t version);

/// Body of the complete response.
[[nodiscard]] std::string response_body_of(const std::string& request);

} // namespace mangovane::soak

#endif
