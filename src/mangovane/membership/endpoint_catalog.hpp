// The endpoints as a registry outside lists them, kept through its outages and spread between
// instances.
#ifndef MANGOVANE_MEMBERSHIP_ENDPOINT_CATALOG_HPP
#define MANGOVANE_MEMBERSHIP_ENDPOINT_CATALOG_HPP

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include "mangovane/membership/endpoint.hpp"
#include "mangovane/message/endpoints.hpp"

namespace mangovane
{

/// A change of one entry of the registry.
struct endpoint_change
{
    std::string name;                  ///< Of the endpoint.
    std::optional<endpoint_info> info; ///< Nothing: the entry was removed, or names no endpoint.
    std::uint64_t revision{0};         ///< Of the registry, after this change.
    milliseconds cold_left{0};         ///< How much longer it stays cold.

    bool operator==(const endpoint_change&) const = default;
};

/// Entries that lapsed because the registry could not be renewed come back soon after its return:
/// until then an endpoint that was listed stays listed. Revisions of an entry only rise.
class endpoint_catalog
{
public:
    /// The whole list at a revision.
    void
    replace(const std::vector<endpoint_change>& entries, std::uint64_t revision, time_point now);

    /// Changes up to a revision.
    void apply(const std::vector<endpoint_change>& changes, std::uint64_t revision, time_point now);

    /// Changes that another instance has read; false when they do not join on to what is known.
    bool on_update(const endpoint_update& update, time_point now);

    /// What an instance needs that knows the list up to a revision, in parts.
    [[nodiscard]] std::vector<endpoint_update> updates_since(std::uint64_t have,
                                                             time_point now) const;

    /// The registry did not answer, or answered again.
    void on_outage(time_point now);
    void on_contact(time_point now);

    /// The registry answers another instance.
    void on_peer_contact(time_point now);

    /// This instance no longer asks the registry.
    void on_reading_stopped();

    /// Since the registry answered this instance; nothing when it never did, or not the last time.
    [[nodiscard]] std::optional<milliseconds> contact_age(time_point now) const;

    /// The list in force, when it differs from the one returned before.
    [[nodiscard]] endpoints_ptr take_changed(time_point now);

    /// Revision up to which the list is complete; 0: nothing is known.
    [[nodiscard]] std::uint64_t revision() const;

    /// Time after the registry's return in which lapsed entries come back.
    static constexpr milliseconds recovery_grace{2000};

    /// A registry that was silent for less than this cannot have let entries lapse.
    static constexpr milliseconds min_outage{2000};

    /// A registry that has answered others for as long was not away: this instance was cut off.
    static constexpr milliseconds min_peer_contact{1500};

    /// For how long the removal of an entry is remembered, to tell instances that lag.
    static constexpr seconds tombstone_retention{30};

private:
    /// A longer time without the contact of another instance begins a new row of contacts.
    static constexpr milliseconds max_peer_contact_gap{600};

    struct entry
    {
        endpoint_info info;
        std::uint64_t revision{0};
        bool removed{false};
        time_point keep_until{}; ///< A removed entry is still listed until then.
        bool listed{true};       ///< In the list returned last.
    };

    void apply_change(const endpoint_change& change, time_point now);

    /// When an endpoint stops being cold, from how long it stays so. An endpoint that has become
    /// warm keeps the time at which it did, as long as it is the same incarnation.
    [[nodiscard]] time_point
    cold_until_of(const endpoint_info& info, milliseconds left, time_point now) const;

    void remove(entry& it, std::uint64_t revision, time_point keep_until);
    void remove_unlisted(const absl::flat_hash_set<std::string>& listed,
                         std::uint64_t revision,
                         time_point now);
    void apply_row(const endpoint_row& row, time_point now);
    void expire(time_point now);
    [[nodiscard]] time_point removal_effective_at(time_point now) const;
    [[nodiscard]] bool registry_was_down(time_point now) const;
    [[nodiscard]] static endpoint_row
    row_of(const std::string& name, const entry& it, time_point now);

    mutable std::mutex mutex_;
    absl::btree_map<std::string, entry> entries_; ///< By name. Guarded by `mutex_`.
    std::uint64_t revision_{0};                   ///< Never falls. Guarded by `mutex_`.
    std::uint64_t tombstones_dropped_through_{
        0}; ///< Newest removal that was forgotten. Guarded by `mutex_`.
    std::optional<time_point> outage_since_; ///< Guarded by `mutex_`.
    std::optional<time_point> last_contact_; ///< Guarded by `mutex_`.
    time_point peer_contact_since_{
        time_point::min()}; ///< It has answered others. Guarded by `mutex_`.
    time_point last_peer_contact_{
        time_point::min()};                      ///< It answered another last. Guarded by `mutex_`.
    time_point recovered_at_{time_point::min()}; ///< End of the last outage. Guarded by `mutex_`.
    bool changed_{false};                        ///< Guarded by `mutex_`.
    std::uint64_t partial_through_{0};           ///< Of a whole list in parts. Guarded by `mutex_`.
    std::uint16_t partial_next_{0};              ///< Next part of it. Guarded by `mutex_`.
    absl::flat_hash_set<std::string> partial_names_; ///< In its parts so far. Guarded by `mutex_`.
};

} // namespace mangovane

#endif
