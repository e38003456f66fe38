// All messages between instances as one variant. Their encoding is in the wire module.
#ifndef MANGOVANE_MESSAGE_MESSAGE_HPP
#define MANGOVANE_MESSAGE_MESSAGE_HPP

#include <variant>
#include <vector>

#include "mangovane/message/chat.hpp"
#include "mangovane/message/endpoints.hpp"
#include "mangovane/message/limit.hpp"
#include "mangovane/message/load.hpp"
#include "mangovane/message/membership.hpp"
#include "mangovane/message/quarantine.hpp"
#include "mangovane/message/rollout.hpp"
#include "mangovane/message/settings.hpp"
#include "mangovane/message/slot.hpp"
#include "mangovane/message/usage.hpp"

namespace mangovane
{

/// In the order of the schema's union `Body`: the codec relies on it.
using message = std::variant<slot_request,
                             slot_grant,
                             slot_refusal,
                             slot_release,
                             slot_renewal,
                             load_query,
                             load_answer,
                             service_load_report,
                             load_total,
                             chat_query,
                             chat_answer,
                             chat_update,
                             limit_request,
                             limit_grant,
                             probe,
                             probe_ack,
                             probe_request,
                             settings_query,
                             settings_content,
                             load_digest,
                             feed_state,
                             endpoint_query,
                             endpoint_update,
                             quarantine_update,
                             rollout_report,
                             usage_report>;

/// A message with its receiver.
struct outgoing_message
{
    instance_id to;
    message body;
    bool reconnect{false}; ///< Earlier messages got no response: open a new connection.

    bool operator==(const outgoing_message&) const = default;
};

using outgoing_messages = std::vector<outgoing_message>;

} // namespace mangovane

#endif
