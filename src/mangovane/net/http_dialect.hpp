// Mapping between HTTP messages on routes and the values that routing decisions use. Routing does
// not depend on the format of messages; another message format is another implementation.
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

/// What the head of an endpoint's response means for the request.
enum class response_class : std::uint8_t
{
    pass_through,     ///< Relay to the caller unchanged.
    failure,          ///< An error: relay to the caller unless another endpoint succeeds.
    no_capacity,      ///< The endpoint has not run the request, for lack of capacity.
    wrong_endpoint,   ///< The endpoint has not run the request, which names another endpoint.
    invalid_response, ///< Not a valid response to this request.
};

/// Where a response stream that broke at one endpoint is resumed at another.
struct resume_point
{
    std::uint64_t last_event{0}; ///< Id of the last event sent to the caller.
    std::string
        weights_version; ///< Version of the model weights that began the stream; empty: unknown.

    bool operator==(const resume_point&) const = default;
};

/// Parses callers' requests, writes endpoints' requests and classifies their responses. Called from
/// several threads.
class http_dialect
{
public:
    virtual ~http_dialect() = default;

    /// Id of the caller's request, for logs; empty if the request has none.
    [[nodiscard]] virtual std::string request_id(const request_head& head) const = 0;

    /// Parses the head of a caller's request.
    /// Errors: unauthenticated, unknown_service, malformed_request, deadline_exceeded.
    [[nodiscard]] virtual absl::StatusOr<forward_request>
    read(const request_head& head, const settings_ptr& settings, time_point now) const = 0;

    /// Request head for an endpoint, without message framing and hop-by-hop fields.
    [[nodiscard]] virtual request_head write(request_head head,
                                             const forward_request& request,
                                             const send_step& step,
                                             const std::optional<resume_point>& resume,
                                             time_point now) const = 0;

    /// Classifies a response by its head.
    [[nodiscard]] virtual response_class classify(const response_head& head,
                                                  const forward_request& request) const = 0;

    /// What the endpoint states about itself in the head of a response.
    [[nodiscard]] virtual endpoint_notice notice_of(const response_head& head,
                                                    time_point now) const = 0;

    /// Version of the model weights that the response names; empty if it names none.
    [[nodiscard]] virtual std::string weights_version_of(const response_head& head) const = 0;
};

} // namespace mangovane

#endif
