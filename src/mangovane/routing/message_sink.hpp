// Interface for sending messages to other instances.
#ifndef MANGOVANE_ROUTING_MESSAGE_SINK_HPP
#define MANGOVANE_ROUTING_MESSAGE_SINK_HPP

#include "mangovane/message/group_message.hpp"

namespace mangovane
{

/// Implemented by the network, and by tests. `send` must not block and may be called from any
/// thread.
class message_sink
{
public:
    virtual ~message_sink() = default;
    virtual void send(const outgoing_message& msg) = 0;

    /// Sends one message to several receivers. A network overrides it to encode the message once.
    virtual void send_to_group(const group_message& msg)
    {
        for (const auto to : msg.to)
        {
            send({to, msg.body});
        }
    }
};

} // namespace mangovane

#endif
