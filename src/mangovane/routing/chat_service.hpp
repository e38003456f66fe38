// Chat locations of an instance: queries and updates to the owners of a chat, and the entries of
// the chats that this instance owns.
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
    /// The state must outlive the service. `capacity` is the number of chats that are stored.
    chat_service(instance_state& state, std::size_t capacity);

    /// Queries to all owners of a chat. With fewer than `chat_replicas` owners, the caller has to
    /// count the missing ones as empty answers.
    [[nodiscard]] outgoing_messages query(std::uint64_t ticket, chat_id chat) const;

    /// Updates to all owners of a chat.
    [[nodiscard]] outgoing_messages record(const chat_update& update) const;

    [[nodiscard]] outgoing_messages on(instance_id from, const chat_query& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const chat_update& msg, time_point now);

    /// Chats stored by this instance.
    [[nodiscard]] std::size_t size() { return directory_.size(); }

private:
    instance_state& state_;
    chat_directory directory_;
};

} // namespace mangovane

#endif
