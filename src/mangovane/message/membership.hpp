// Messages of the failure detector (SWIM with suspicion) and the membership updates on them.
#ifndef MANGOVANE_MESSAGE_MEMBERSHIP_HPP
#define MANGOVANE_MESSAGE_MEMBERSHIP_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/core/store_revision.hpp"

namespace mangovane
{

/// State of a member in the failure detector.
enum class member_state : std::uint8_t
{
    alive,
    suspect,
    dead,
    left, ///< The member left on its own; final for its incarnation.
};

/// Version of the settings that an instance has in force.
struct settings_stamp
{
    store_revision version;   ///< 0: none yet.
    std::uint64_t digest{0};  ///< Hash of the settings' text.
    std::uint64_t content{0}; ///< The text's own version, which only rises; 0: it states none.

    /// Whether these settings replace the others. The content decides first: a store that has come
    /// back from an older copy gives old content a higher revision.
    [[nodiscard]] constexpr bool newer_than(const settings_stamp& other) const noexcept
    {
        return content != other.content ? content > other.content : version > other.version;
    }

    auto operator<=>(const settings_stamp&) const = default;
};

/// Update about one member, piggybacked on probes and acknowledgements.
struct member_update
{
    instance_id instance;
    incarnation epoch{0};
    std::uint32_t refutations{0}; ///< Raised by the instance itself to refute a suspicion.
    member_state state{member_state::alive};
    std::string name;
    std::string address; ///< `ip:port` of the interface between instances.
    domain_id domain;
    settings_stamp settings;

    auto operator<=>(const member_update&) const = default;
};

/// Asks the receiver for an acknowledgement.
struct probe
{
    std::uint64_t sequence{0};
    settings_stamp settings;
    std::vector<member_update> updates; ///< At most `max_updates_per_probe`.
    bool joining{false};                ///< The sender has just started and asks for all members.

    bool operator==(const probe&) const = default;
};

/// Acknowledges a probe. With sequence 0 it acknowledges none and carries updates only.
struct probe_ack
{
    std::uint64_t sequence{0};
    instance_id subject; ///< The live instance; not the sender when the probe was indirect.
    settings_stamp settings;
    std::vector<member_update> updates;

    bool operator==(const probe_ack&) const = default;
};

/// Indirect probe: asks the receiver to probe `subject` and to forward its acknowledgement.
struct probe_request
{
    std::uint64_t sequence{0};
    instance_id subject;

    auto operator<=>(const probe_request&) const = default;
};

inline constexpr std::size_t max_updates_per_probe = 8;

} // namespace mangovane

#endif
