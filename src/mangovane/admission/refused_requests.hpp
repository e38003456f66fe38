// Requests that were refused lately, so that they are recognised when they return.
#ifndef MANGOVANE_ADMISSION_REFUSED_REQUESTS_HPP
#define MANGOVANE_ADMISSION_REFUSED_REQUESTS_HPP

#include <cstddef>
#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Not thread-safe; bounded in number.
class refused_requests
{
public:
    /// `identity` is that of the request over its attempts; 0: it cannot be recognised.
    void add(std::uint64_t identity, time_point now)
    {
        if (identity == 0)
        {
            return;
        }
        if (until_.size() >= max_requests)
        {
            absl::erase_if(until_, [&](const auto& it) { return now > it.second; });
        }
        if (until_.size() < max_requests || until_.contains(identity))
        {
            until_[identity] = now + memory_time;
        }
    }

    [[nodiscard]] bool contains(std::uint64_t identity, time_point now) const
    {
        const auto it = until_.find(identity);
        return it != until_.end() && now <= it->second;
    }

    /// Longer than the longest delay that a refusal advises, with its spread (7.5 s).
    static constexpr seconds memory_time{10};
    static constexpr std::size_t max_requests = 1024;

private:
    absl::flat_hash_map<std::uint64_t, time_point> until_; ///< By identity.
};

} // namespace mangovane

#endif
