// What an endpoint states about itself in the head of a response.
#ifndef MANGOVANE_FORWARD_ENDPOINT_NOTICE_HPP
#define MANGOVANE_FORWARD_ENDPOINT_NOTICE_HPP

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Independent of what the response means for its request.
struct endpoint_notice
{
    bool leaving{false};       ///< The endpoint is shutting down and accepts no new requests.
    time_point closed_until{}; ///< It accepts no request of this instance until then; zero: no
                               ///< such statement.

    auto operator<=>(const endpoint_notice&) const = default;
};

} // namespace mangovane

#endif
