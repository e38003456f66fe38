// Implementation of the chat service.
#include "mangovane/routing/chat_service.hpp"

namespace mangovane
{

chat_service::chat_service(instance_state& state, std::size_t capacity)
    : state_{state}, directory_{capacity}
{}

outgoing_messages chat_service::query(std::uint64_t ticket, chat_id chat) const
{
    outgoing_messages result;
    for (const auto owner : state_.view()->key_owners(chat.value(), chat_replicas))
    {
        result.push_back({owner, chat_query{ticket, chat}});
    }
    return result;
}

outgoing_messages chat_service::record(const chat_update& update) const
{
    outgoing_messages result;
    for (const auto owner : state_.view()->key_owners(update.chat.value(), chat_replicas))
    {
        result.push_back({owner, update});
    }
    return result;
}

outgoing_messages chat_service::on(instance_id from, const chat_query& msg, time_point)
{
    return {{from, chat_answer{msg.ticket, msg.chat, directory_.find(msg.chat)}}};
}

outgoing_messages chat_service::on(instance_id, const chat_update& msg, time_point now)
{
    directory_.update(msg, now);
    return {};
}

} // namespace mangovane
