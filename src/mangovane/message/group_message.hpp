// A message that one instance sends to several others.
#ifndef MANGOVANE_MESSAGE_GROUP_MESSAGE_HPP
#define MANGOVANE_MESSAGE_GROUP_MESSAGE_HPP

#include <vector>

#include "mangovane/message/message.hpp"

namespace mangovane
{

/// A message with the same content for several receivers.
struct group_message
{
    std::vector<instance_id> to;
    message body;

    bool operator==(const group_message&) const = default;
};

using group_messages = std::vector<group_message>;

} // namespace mangovane

#endif
