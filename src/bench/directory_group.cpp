// Implementation of the replicated chat directories.
#include "bench/directory_group.hpp"

#include "mangovane/core/hash.hpp"

namespace mangovane::bench
{

directory_group::directory_group(std::size_t instances, std::size_t capacity)
    : capacity_{capacity}, ids_(instances), directories_(instances)
{
    for (std::size_t n = 0; n != instances; ++n)
    {
        replace_instance(n);
    }
}

chat_locations directory_group::find(chat_id chat) const
{
    for (const auto n : rendezvous_order(chat.value(), ids_, chat_replicas))
    {
        const auto found = directories_[n]->find(chat);
        if (!found.empty())
        {
            return found;
        }
    }
    return {};
}

void directory_group::update(const chat_update& msg, time_point now)
{
    for (const auto n : rendezvous_order(msg.chat.value(), ids_, chat_replicas))
    {
        directories_[n]->update(msg, now);
    }
}

void directory_group::replace_instance(std::size_t instance)
{
    ids_[instance] = hash_combine(next_id_++, 0x696e7374ULL);
    directories_[instance] = std::make_unique<chat_directory>(capacity_);
}

} // namespace mangovane::bench
