// How callers and endpoints spell requests and answers on routes. The decisions know none of it;
// another dialect is another implementation.
#ifndef MANGOVANE_NET_HTTP_DIALECT_HPP
#define MANGOVANE_NET_HTTP_DIALECT_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/beast/http/message.hpp>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/forward/forward_flow.hpp"

namespace mangovane
{

using request_head = boost::beast::http::request_header<>;
using response_head = boost::beast::http::response_header<>;

/// What an endpoint's answer means.
enum class response_class : std::uint8_t
{
    pass_through, ///< It goes to the caller as it is.
    failure, ///< It reports a failure; it goes to the caller unless another endpoint does better.
    no_capacity,      ///< The endpoint did not run the request and has no room.
    wrong_endpoint,   ///< The endpoint did not run the request: it was meant for another.
    invalid_response, ///< Not an answer to this request.
};

/// How an answer that began at one endpoint goes on at another.
struct resume_point
{
    std::uint64_t last_event{0};
    std::string weights; ///< Version of the weights that made the first events; empty: unknown.

    bool operator==(const resume_point&) const = default;
};

class http_dialect
{
public:
    virtual ~http_dialect() = default;

    /// Id of the caller's request, for logs; empty: it has none.
    [[nodiscard]] virtual std::string request_id(const request_head& head) const = 0;

    /// Errors: unauthenticated, unknown_service, malformed_request, deadline_exceeded.
    [[nodiscard]] virtual absl::StatusOr<forward_request>
    read(const request_head& head, const settings_ptr& settings, time_point now) const = 0;

    /// Head for an endpoint, without the fields of framing and connection.
    [[nodiscard]] virtual request_head write(const request_head& head,
                                             const forward_request& request,
                                             const send_step& step,
                                             const std::optional<resume_point>& resume,
                                             time_point now) const = 0;

    [[nodiscard]] virtual response_class classify(const response_head& head,
                                                  const forward_request& request) const = 0;

    /// Version of the weights that an answer was made with; empty: it does not say.
    [[nodiscard]] virtual std::string weights_of(const response_head& head) const = 0;
};

} // namespace mangovane

#endif
