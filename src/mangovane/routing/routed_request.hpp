// A request in the form that decisions use, independent of the encoding of a front end.
#ifndef MANGOVANE_ROUTING_ROUTED_REQUEST_HPP
#define MANGOVANE_ROUTING_ROUTED_REQUEST_HPP

#include <cstdint>
#include <string>

#include "mangovane/core/id.hpp"
#include "mangovane/core/request_class.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/chat.hpp"

namespace mangovane
{

struct routed_request
{
    std::string request; ///< The caller's request id, for logs.
    account_id account;
    service_id service;
    model_id model; ///< Empty for a plain service.
    chat_id chat;   ///< Empty if the caller names no chat.
    request_class priority{request_class::standard};
    bool idempotent{false};
    std::string key;              ///< `Idempotency-Key`; empty if there is none.
    std::uint64_t fingerprint{0}; ///< Hash of method, path and body; valid with a key.
    time_point deadline;
    chat_locations hint; ///< Locations from the caller's affinity token; untrusted.

    bool operator==(const routed_request&) const = default;
};

} // namespace mangovane

#endif
