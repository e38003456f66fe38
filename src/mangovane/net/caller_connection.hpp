// Limits that apply to each connection of a caller, whichever front end serves it.
#ifndef MANGOVANE_NET_CALLER_CONNECTION_HPP
#define MANGOVANE_NET_CALLER_CONNECTION_HPP

#include <cstddef>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Smallest limit on the bytes that are read ahead from a caller. It also bounds chunk headers and
/// trailers, which have no limit of their own in the settings.
inline constexpr std::size_t min_read_buffer_bytes = std::size_t{16} * 1024;

/// How long a connection without a request stays open when the instance stops: a caller may have
/// connected just before, with its first request on the way.
inline constexpr milliseconds first_request_wait{500};

} // namespace mangovane

#endif
