// Local copy of an external registry's endpoint list, which survives outages of the registry and is
// replicated between instances.
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

/// Change of one entry of the registry.
struct endpoint_change
{
    std::string name;                  ///< Name of the endpoint.
    std::optional<endpoint_info> info; ///< Empty: the entry was removed, or cannot be parsed.
    store_revision revision;           ///< Revision of the registry after this change.
    milliseconds cold_left{0};         ///< Remaining warm-up time.

    bool operator==(const endpoint_change&) const = default;
};

/// What the first full list of a new era of the registry changed.
struct era_change
{
    store_revision before;
    store_revision after;
    std::size_t taken{0};   ///< Rows of the list that were applied.
    std::size_t kept{0};    ///< Entries that are newer than their rows.
    std::size_t missing{0}; ///< Entries without a row, which are removed after `recovery_grace`.

    auto operator<=>(const era_change&) const = default;
};

/// Local copy of the registry's endpoint list. Endpoints cannot renew their entries during an
/// outage of the registry: entries expire although their endpoints still run, and are registered
/// again soon after the registry recovers. A removal seen in that period therefore takes effect
/// only after `recovery_grace`. The revision of an entry never decreases. Thread-safe.
class endpoint_catalog
{
public:
    /// Replaces the list with the registry's full list at a revision. An older one is ignored.
    void
    replace(const std::vector<endpoint_change>& entries, store_revision revision, time_point now);

    /// Applies the registry's changes up to a revision.
    void
    apply(const std::vector<endpoint_change>& changes, store_revision revision, time_point now);

    /// Applies a part of the list that another instance has read. Returns false when an update or a
    /// part before it is missing; the caller then has to request the changes again.
    bool on_update(const endpoint_update& update, time_point now);

    /// Updates, split into parts, for an instance that has the list up to `known_revision`. The
    /// full list when that is 0, or when this instance may lack the tombstone of a later removal.
    [[nodiscard]] std::vector<endpoint_update> updates_since(store_revision known_revision,
                                                             time_point now) const;

    /// The registry did not respond to this instance.
    void on_outage(time_point now);

    /// The registry responded to this instance.
    void on_contact(time_point now);

    /// The registry responds to another instance.
    void on_peer_contact(time_point now);

    /// This instance no longer reads from the registry.
    void on_polling_stopped();

    /// Time since the registry last responded to this instance. Empty when it never has, or when
    /// the last call failed.
    [[nodiscard]] std::optional<milliseconds> contact_age(time_point now) const;

    /// The current list if it has changed since the last call, else null.
    [[nodiscard]] endpoints_ptr take_changed(time_point now);

    /// The last change of the era; empty if it was returned before or there was none.
    [[nodiscard]] std::optional<era_change> take_era_change();

    /// Registry revision up to which the list is complete; 0: none yet.
    [[nodiscard]] store_revision revision() const;

    /// Number of entries, including those that were removed a short time ago.
    [[nodiscard]] std::size_t size() const;

    /// Time after a recovery of the registry in which endpoints can register again.
    static constexpr milliseconds recovery_grace{2000};

    /// A shorter outage of the registry cannot have made entries expire.
    static constexpr milliseconds min_outage{2000};

    /// When the registry has responded to other instances for this long, it was not down; only this
    /// instance had lost its connection.
    static constexpr milliseconds min_peer_contact{1500};

    /// Time for which a removed entry is kept, so that lagging instances receive the removal.
    static constexpr seconds tombstone_retention{30};

private:
    /// After a longer gap in the contacts of other instances, their time is counted anew.
    static constexpr milliseconds max_peer_contact_gap{600};

    struct entry
    {
        endpoint_info info;
        store_revision revision;
        bool removed{false};
        time_point keep_until{};  ///< A removed entry stays listed until then.
        bool listed{true};        ///< In the list that `take_changed` returned last.
        std::uint64_t written{0}; ///< Number of the last revision that did not remove it.
    };

    /// Entries without a row in a list of a new era are kept as after an outage: the registry has
    /// lost them, and their endpoints register again.
    void prepare_for(store_revision revision, time_point now);

    /// Whether a row of a later era has a content that is older than the entry: the registry came
    /// back with it from a copy. An endpoint starts later with each incarnation and does not become
    /// ready again within one.
    [[nodiscard]] static bool
    is_outdated(const entry& held, store_revision revision, incarnation epoch, bool leaving);
    /// Keeps an entry in spite of its outdated row, at the revision of the row.
    void keep(entry& held, store_revision revision);

    void apply_change(const endpoint_change& change, time_point now);

    /// End of the warm-up, from its remaining time. An endpoint that is already warm keeps the time
    /// at which its warm-up ended, as long as its incarnation is the same.
    [[nodiscard]] time_point
    cold_until_of(const endpoint_info& info, milliseconds left, time_point now) const;

    void remove(entry& it, store_revision revision, time_point keep_until);
    /// Keeps the removal of an entry that this instance never had, for instances that have it.
    void add_tombstone(const std::string& name, store_revision revision, time_point now);
    /// The list is complete up to the revision, without removals before it.
    void on_full_list(store_revision revision);
    void remove_unlisted(const absl::flat_hash_set<std::string>& listed,
                         store_revision revision,
                         time_point now);
    void apply_row(const endpoint_row& row, time_point now);
    void expire(time_point now);
    /// When a removal seen now takes effect: at once, or `recovery_grace` after an outage.
    [[nodiscard]] time_point removal_effective_at(time_point now) const;
    [[nodiscard]] bool registry_was_down(time_point now) const;
    [[nodiscard]] static endpoint_row
    row_of(const std::string& name, const entry& it, time_point now);

    mutable std::mutex mutex_;                    ///< Guards all members below.
    absl::btree_map<std::string, entry> entries_; ///< By name.
    store_revision revision_;                     ///< Never decreases.
    /// There is an entry or a tombstone for each change after this revision. A full list says
    /// nothing about removals before it, so it raises this revision to its own.
    store_revision tombstones_complete_from_;
    std::optional<time_point> outage_since_;
    std::optional<time_point> last_contact_;
    /// Start of the other instances' current series of contacts with the registry.
    time_point peer_contact_since_{time_point::min()};
    time_point last_peer_contact_{time_point::min()};
    time_point recovered_at_{time_point::min()}; ///< End of the last outage.
    era_change lists_;                           ///< Counts of the list that is being applied.
    std::optional<era_change> era_change_;
    bool changed_{false};                            ///< Since the last `take_changed`.
    store_revision partial_through_;                 ///< Revision of the update received in parts.
    std::uint16_t partial_next_{0};                  ///< Next part of it.
    absl::flat_hash_set<std::string> partial_names_; ///< Names in the parts received so far.
};

} // namespace mangovane

#endif
