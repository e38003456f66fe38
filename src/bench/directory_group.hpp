// The chat directories of all entry instances, as a request sees them.
#ifndef MANGOVANE_BENCH_DIRECTORY_GROUP_HPP
#define MANGOVANE_BENCH_DIRECTORY_GROUP_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "mangovane/placement/chat_directory.hpp"

namespace mangovane::bench
{

/// Each chat has a copy at the first two instances of its rendezvous order.
class directory_group
{
public:
    directory_group(std::size_t instances, std::size_t capacity);

    /// The first copy that knows the chat.
    [[nodiscard]] chat_locations find(chat_id chat) const;
    void update(const chat_update& msg, time_point now);

    /// Replaces an instance by a new one with an empty directory.
    void replace(std::size_t instance);

    [[nodiscard]] std::size_t instances() const noexcept { return ids_.size(); }

private:
    std::size_t capacity_;
    std::uint64_t next_id_{1};
    std::vector<std::uint64_t> ids_;
    std::vector<std::unique_ptr<chat_directory>> directories_;
};

} // namespace mangovane::bench

#endif
