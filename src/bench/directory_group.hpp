// The chat directories of all entry instances, looked up and updated by rendezvous hashing.
#ifndef MANGOVANE_BENCH_DIRECTORY_GROUP_HPP
#define MANGOVANE_BENCH_DIRECTORY_GROUP_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "mangovane/placement/chat_directory.hpp"

namespace mangovane::bench
{

/// Replicates each chat to the first two instances of its rendezvous order.
class directory_group
{
public:
    directory_group(std::size_t instances, std::size_t capacity);

    /// Locations from the first replica that has an entry for the chat.
    [[nodiscard]] chat_locations find(chat_id chat) const;
    void update(const chat_update& msg, time_point now);

    /// Replaces an instance by one with a new id and an empty directory.
    void replace_instance(std::size_t instance);

    [[nodiscard]] std::size_t instances() const noexcept { return ids_.size(); }

private:
    std::size_t capacity_;
    std::uint64_t next_id_{1};
    std::vector<std::uint64_t> ids_;
    std::vector<std::unique_ptr<chat_directory>> directories_;
};

} // namespace mangovane::bench

#endif
