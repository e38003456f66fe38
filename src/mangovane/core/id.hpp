// Identifiers. A name is represented by its 64-bit hash, so that every name takes eight bytes in
// messages and as a map key. The settings check rejects a tree in which two names have
// the same hash.
#ifndef MANGOVANE_CORE_ID_HPP
#define MANGOVANE_CORE_ID_HPP

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

/// Hash of a name. The tag makes identifiers of different kinds distinct types.
template <class Tag>
class name_id
{
public:
    constexpr name_id() noexcept = default;
    constexpr explicit name_id(std::uint64_t value) noexcept : value_{value} {}

    [[nodiscard]] static name_id of(std::string_view name) noexcept
    {
        return name_id{hash_bytes(name)};
    }

    [[nodiscard]] constexpr std::uint64_t value() const noexcept { return value_; }
    [[nodiscard]] constexpr bool empty() const noexcept { return value_ == 0; }

    constexpr auto operator<=>(const name_id&) const noexcept = default;

    template <class H>
    friend H AbslHashValue(H state, const name_id& id)
    {
        return H::combine(std::move(state), id.value_);
    }

private:
    std::uint64_t value_{0};
};

using instance_id = name_id<struct instance_tag>;
using endpoint_id = name_id<struct endpoint_tag>;
using domain_id = name_id<struct domain_tag>;
using service_id = name_id<struct service_tag>;
using account_id = name_id<struct account_tag>;
using model_id = name_id<struct model_tag>;
using node_id = name_id<struct settings_node_tag>; ///< A node of the settings tree, by path.
using chat_id = name_id<struct chat_tag>;          ///< Hash of account and the caller's chat id.

/// Start time of a process in Unix milliseconds; increases when an instance restarts.
using incarnation = std::uint64_t;

/// Identifies one attempt of a request; unique in the fleet for the lifetime of its process.
struct attempt_id
{
    instance_id origin;
    incarnation epoch{0}; ///< Incarnation of the origin.
    std::uint64_t sequence{0};

    auto operator<=>(const attempt_id&) const = default;

    template <class H>
    friend H AbslHashValue(H state, const attempt_id& id)
    {
        return H::combine(std::move(state), id.origin, id.epoch, id.sequence);
    }
};

} // namespace mangovane

#endif
