// Immutable view of the live instances, and the ownership that follows from it.
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

/// Entry of one instance in a view.
struct member
{
    instance_id id;
    incarnation epoch{0};
    member_state state{member_state::alive};
    bool eligible{true}; ///< May own state: alive or suspect, and not damped after flapping.
    std::string name;
    std::string address; ///< `ip:port` of the interface between instances.
    domain_id domain;
    settings_stamp settings; ///< Settings version that it has in force.

    bool operator==(const member&) const = default;
};

/// The live members, the time until which the view is valid, and the owners that follow from it.
class membership_view
{
public:
    membership_view(std::uint64_t version, time_point valid_until, std::vector<member> members);

    /// Copy with another validity; it shares the members.
    [[nodiscard]] membership_view with_validity(time_point valid_until) const;

    /// Rises with every change of the members, except of their settings stamps.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    /// After this time the view is stale, because the process was paused or isolated: it must be
    /// refreshed before it is used.
    [[nodiscard]] time_point valid_until() const noexcept { return valid_until_; }

    /// This instance and all members that are alive or suspect, ordered by id.
    [[nodiscard]] const std::vector<member>& members() const noexcept { return content_->members; }

    /// Null when the view has no such member.
    [[nodiscard]] const member* find(instance_id id) const noexcept;

    /// Number of instances that may own state.
    [[nodiscard]] std::size_t eligible_count() const noexcept { return content_->eligible.size(); }

    /// Ids of the instances in a failure domain that may own state.
    [[nodiscard]] const std::vector<std::uint64_t>& eligible_in(domain_id domain) const noexcept;

    /// Owner of an endpoint: an instance of the endpoint's failure domain or, when the domain has
    /// none, of any other, so that the endpoint is still polled and its shutdown is noticed.
    [[nodiscard]] std::optional<instance_id> endpoint_owner(endpoint_id endpoint,
                                                            domain_id domain) const noexcept;

    /// Owner of a key, such as a hashed id, among all instances; empty when none may own state.
    [[nodiscard]] std::optional<instance_id> key_owner(std::uint64_t key) const noexcept;

    /// The first `count` instances in rendezvous order of a key.
    [[nodiscard]] std::vector<instance_id> key_owners(std::uint64_t key, std::size_t count) const;

    /// Rank of an instance, from 0, in rendezvous order of a key; empty when it may not own state.
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
