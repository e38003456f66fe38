// A request on a route as the decisions see it, free of any front end's encoding.
#ifndef MANGOVANE_FORWARD_FORWARD_REQUEST_HPP
#define MANGOVANE_FORWARD_FORWARD_REQUEST_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "mangovane/core/hash.hpp"
#include "mangovane/settings/snapshot.hpp"

namespace mangovane
{

/// A piece of a prompt. Requests with the same pieces in the same order share a prefix.
struct prompt_part
{
    std::uint64_t id{0};
    std::uint32_t tokens{0};

    auto operator<=>(const prompt_part&) const = default;
};

struct forward_request
{
    std::string request;             ///< The caller's id of this request, for logs.
    settings_ptr settings;           ///< In force when the request arrived. Never null.
    const route_policy* route{};     ///< Of `settings`. Never null.
    service_id service;              ///< One of the route's targets.
    account_id account;              ///< Empty on a route without keys.
    std::string account_name;        ///< Empty on a route without keys.
    std::uint8_t urgency{5};         ///< 0 is the most urgent, 9 the least.
    std::vector<prompt_part> prompt; ///< In order; the last belongs to this request or its chat.
    time_point accepted_at;
    time_point deadline; ///< The caller's or the route's, whichever is earlier.

    /// Hash of the prompt's shared beginning; 0 when requests need not stay together. The last
    /// part is the request's own, so that the chain before it is what others share.
    [[nodiscard]] std::uint64_t affinity() const noexcept
    {
        if (!route->sticky || prompt.empty())
        {
            return 0;
        }
        return hash_combine(prompt[last_shared()].id, 1);
    }

    /// Hash of the first part, which more requests share than the whole beginning; 0 when the
    /// beginning has no other part.
    [[nodiscard]] std::uint64_t common_prefix() const noexcept
    {
        return affinity() == 0 || last_shared() == 0 ? 0 : hash_combine(prompt.front().id, 1);
    }

    bool operator==(const forward_request&) const = default;

private:
    [[nodiscard]] std::size_t last_shared() const noexcept
    {
        return prompt.size() > 1 ? prompt.size() - 2 : 0;
    }
};

} // namespace mangovane

#endif
