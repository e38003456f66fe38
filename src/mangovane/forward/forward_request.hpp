// A request on a route, independent of the encoding of any front end.
#ifndef MANGOVANE_FORWARD_FORWARD_REQUEST_HPP
#define MANGOVANE_FORWARD_FORWARD_REQUEST_HPP

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "mangovane/core/hash.hpp"
#include "mangovane/core/prompt_part.hpp"
#include "mangovane/settings/snapshot.hpp"

namespace mangovane
{

/// Size of a request to a model, as its caller states it. All zero: not stated.
struct token_counts
{
    std::uint32_t prompt{0};
    std::uint32_t max_generated{0};

    /// Tokens that the request holds in the endpoint's memory at its end.
    [[nodiscard]] std::uint64_t held() const noexcept
    {
        return std::uint64_t{prompt} + max_generated;
    }

    auto operator<=>(const token_counts&) const = default;
};

struct forward_request
{
    std::string request;         ///< Id that the caller gave the request, for logs.
    settings_ptr settings;       ///< Settings in force when the request arrived. Never null.
    const route_policy* route{}; ///< Part of `settings`. Never null.
    service_id service;          ///< One of the route's targets.
    account_id account;          ///< Empty on a route without keys.
    std::string account_name;    ///< Empty on a route without keys.
    std::uint8_t urgency{5};     ///< 0 is the most urgent, 9 the least.
    /// In order; the last part is specific to this request or its chat.
    std::vector<prompt_part> prompt;
    token_counts tokens;
    std::uint64_t bytes{0}; ///< Of its head and body, which the instance holds.
    time_point accepted_at;
    time_point deadline; ///< Deadline of the caller or of the route, whichever is earlier.

    /// Hash of the shared prefix of the prompt; 0 when the route is not sticky or there is no
    /// prompt. The last part belongs to the request alone, so the parts before it form the shared
    /// prefix.
    [[nodiscard]] std::uint64_t affinity() const noexcept
    {
        if (!route->sticky || prompt.empty())
        {
            return 0;
        }
        return hash_combine(prompt[last_shared()].id, 1);
    }

    /// Hash of the first part, which more requests share than the whole prefix; 0 when the prefix
    /// has no other part.
    [[nodiscard]] std::uint64_t common_prefix() const noexcept
    {
        return affinity() == 0 || last_shared() == 0 ? 0 : hash_combine(prompt.front().id, 1);
    }

    /// The parts that other requests may share: all but the last one. Empty when there is only one.
    [[nodiscard]] std::span<const prompt_part> shared_parts() const noexcept
    {
        return {prompt.data(), prompt.empty() ? 0 : prompt.size() - 1};
    }

    [[nodiscard]] prompt_identity identity() const noexcept
    {
        std::uint64_t whole = 0;
        for (const auto& it : prompt)
        {
            whole = hash_combine(whole, it.id);
        }
        return {shared_parts(), whole};
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
