// The part of an instance that asks for, records and remembers the endpoints of chats.
#ifndef MANGOVANE_ROUTING_CHAT_SERVICE_HPP
#define MANGOVANE_ROUTING_CHAT_SERVICE_HPP

#include "mangovane/placement/chat_directory.hpp"
#include "mangovane/routing/instance_state.hpp"
#include "mangovane/routing/slot_service.hpp"

namespace mangovane
{

class chat_service
{
public:
    /// The state outlives the service.
    chat_service(instance_state& state, std::size_t capacity);

    /// Queries to all copies of a chat; the caller counts the missing ones as empty answers.
    [[nodiscard]] outgoing_messages ask(std::uint64_t ticket, chat_id chat) const;

    /// Updates to all copies of a chat.
    [[nodiscard]] outgoing_messages record(const chat_update& update) const;

    [[nodiscard]] outgoing_messages on(instance_id from, const chat_query& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const chat_update& msg, time_point now);

    [[nodiscard]] std::size_t size() { return directory_.size(); }

private:
    instance_state& state_;
    chat_directory directory_;
};

} // namespace mangovane

#endif
