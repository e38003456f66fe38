// An immutable view of the live instances, and who owns what under it.
#ifndef MANGOVANE_MEMBERSHIP_VIEW_HPP
#define MANGOVANE_MEMBERSHIP_VIEW_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/membership.hpp"

namespace mangovane
{

/// One instance as the view knows it.
struct member
{
    instance_id id;
    incarnation epoch{0};
    member_state state{member_state::alive};
    bool eligible{true}; ///< May own state: alive or suspect, and not damped after flapping.
    std::string name;
    std::string address;
    domain_id domain;
    settings_stamp settings;

    bool operator==(const member&) const = default;
};

/// Who is live, until when this may be relied on, and the owners that follow from it.
class membership_view
{
public:
    membership_view(std::uint64_t version, time_point valid_until, std::vector<member> members);

    /// The same members, relied on until another time. The copy shares them.
    [[nodiscard]] membership_view with_validity(time_point valid_until) const;

    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    /// After this time a process must refresh its view before it acts; it was paused or cut off.
    [[nodiscard]] time_point valid_until() const noexcept { return valid_until_; }

    /// All members, dead ones excluded, in order of id.
    [[nodiscard]] const std::vector<member>& members() const noexcept { return content_->members; }

    [[nodiscard]] const member* find(instance_id id) const noexcept;

    /// Number of instances that may own state.
    [[nodiscard]] std::size_t eligible_count() const noexcept { return content_->eligible.size(); }

    /// Ids of instances that may own state, in a failure domain.
    [[nodiscard]] const std::vector<std::uint64_t>& eligible_in(domain_id domain) const noexcept;

    /// Owner of an endpoint: an instance of the endpoint's own failure domain; when it has none,
    /// any other, so that somebody polls the endpoint and knows when it leaves.
    [[nodiscard]] std::optional<instance_id> endpoint_owner(endpoint_id endpoint,
                                                            domain_id domain) const noexcept;

    /// Owner of a key over all instances, or nothing.
    [[nodiscard]] std::optional<instance_id> key_owner(std::uint64_t key) const noexcept;

    /// The first `count` instances in rendezvous order of a key.
    [[nodiscard]] std::vector<instance_id> key_owners(std::uint64_t key, std::size_t count) const;

    /// Rank of an instance in rendezvous order of a key among all that may own state.
    [[nodiscard]] std::optional<std::size_t> rank_of(std::uint64_t key, instance_id id) const;

    bool operator==(const membership_view& other) const;

private:
    struct domain_members
    {
        domain_id domain;
        std::vector<std::uint64_t> ids;

        bool operator==(const domain_members&) const = default;
    };

    struct content
    {
        std::vector<member> members;         ///< Ordered by id.
        std::vector<std::uint64_t> eligible; ///< Ids of the members with `eligible`, ordered.
        std::vector<domain_members> domains; ///< Ordered by domain.

        bool operator==(const content&) const = default;
    };

    [[nodiscard]] static content content_of(std::vector<member> members);

    std::uint64_t version_;
    time_point valid_until_;
    std::shared_ptr<const content>
        content_; ///< Never null. Shared by views that differ in validity.
};

using view_ptr = std::shared_ptr<const membership_view>;

} // namespace mangovane

#endif
