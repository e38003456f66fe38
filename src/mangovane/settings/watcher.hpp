// Keeps the settings of one instance up to date from the platform and from peers.
//
// A small text is requested from the peer that announced the version. If no peer delivers it, for
// instance because it does not fit a frame, the text is read from the platform.
#ifndef MANGOVANE_SETTINGS_WATCHER_HPP
#define MANGOVANE_SETTINGS_WATCHER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "mangovane/core/id.hpp"
#include "mangovane/message/message.hpp"
#include "mangovane/message/settings.hpp"
#include "mangovane/settings/registry.hpp"
#include "mangovane/settings/store.hpp"

namespace mangovane
{

/// Rank of an instance among the live ones; staggers the instances' reads of the head row.
struct instance_rank
{
    std::size_t rank{0};  ///< Position of this instance in an order that all instances share.
    std::size_t count{1}; ///< Live instances.

    auto operator<=>(const instance_rank&) const = default;
};

/// Minimum interval between two reads of the head row by one instance.
inline constexpr milliseconds min_head_poll_period{500};

/// Maximum rate at which all instances together read the head row.
inline constexpr std::uint32_t max_fleet_head_reads_per_s = 20;

/// Time after which a queried peer is assumed not to have the text.
inline constexpr milliseconds peer_response_timeout{500};

/// Delay between two ranks when several instances fetch a missing version from the platform. It
/// limits all instances together to 200 row reads per second, a tenth of the platform's capacity.
inline constexpr milliseconds platform_read_stagger{5};

/// Maximum size of a text sent to a peer; the rest of the 64 KB frame is for the other fields.
inline constexpr std::size_t max_peer_text_bytes = 60U * 1024;

/// Interval between two reads of the head row by one instance of a fleet of this size.
[[nodiscard]] milliseconds head_poll_period(std::size_t instances) noexcept;

/// Thread-safe. Handlers of calls to the platform hold only weak references to the watcher.
class settings_watcher : public std::enable_shared_from_this<settings_watcher>
{
public:
    /// Activates a snapshot; called without a lock held, possibly from several threads.
    using adopt_function = std::function<adopt_result(settings_ptr)>;

    /// `adopt` must activate snapshots in `registry`; both must outlive the watcher.
    settings_watcher(settings_store store, settings_registry& registry, adopt_function adopt);

    /// Starts the reads that are due. Must be called at least every 50 ms. `since_epoch` is the
    /// wall clock, whose phase all instances share; their steady clocks have different epochs.
    void tick(time_point now, milliseconds since_epoch, instance_rank position);

    /// Handles a version announced by a peer. Returns the query to send to it, if one is due.
    [[nodiscard]] std::optional<outgoing_message>
    on_announced(instance_id peer, settings_stamp stamp, time_point now);

    /// Response to a peer's query; nothing if the peer's version is as new or the text is too long.
    [[nodiscard]] std::optional<settings_content> on_query(const settings_query& msg) const;

    /// Handles a text received from a peer.
    void on_content(const settings_content& msg);

    /// Whether the instance may become ready: its version is at least as new as any announced one,
    /// and a read of the platform has completed, successfully or not.
    [[nodiscard]] bool may_become_ready() const;

    /// Start time of the last successful read of the head row; nothing before the first.
    [[nodiscard]] std::optional<time_point> last_contact() const;

    /// Why the last text was rejected; empty if it was accepted.
    [[nodiscard]] std::string last_error() const;

private:
    enum class platform_state : std::uint8_t
    {
        unknown,
        reached,
        unreachable,
    };

    [[nodiscard]] bool
    is_head_read_due(time_point now, milliseconds since_epoch, instance_rank position);
    [[nodiscard]] bool is_text_fetch_due(time_point now, instance_rank position);
    [[nodiscard]] std::uint64_t current_version() const;
    void read_head(time_point now);
    void on_head(const absl::StatusOr<std::optional<settings_record>>& head,
                 time_point requested_at);
    void fetch_version(std::uint64_t version, time_point now);
    void fetch_text(const settings_record& head, time_point deadline);
    void end_fetch();
    void adopt_text(settings_stamp stamp, std::string text, const settings_record* head);
    void set_last_error(std::string error);

    settings_store store_;
    settings_registry& registry_;
    adopt_function adopt_;

    mutable std::mutex mutex_; ///< Guards all members below.
    bool reading_head_{false};
    bool fetching_{false};
    std::optional<time_point> last_read_; ///< Start of the last read of the head row.
    /// Index, since the epoch, of the poll interval of this instance in which it started.
    std::int64_t last_poll_interval_{-1};
    std::optional<time_point> last_contact_;
    platform_state platform_{platform_state::unknown};
    std::optional<time_point> peer_queried_at_;
    std::optional<time_point> fetched_at_;
    std::optional<time_point> outdated_since_; ///< When the missing version was first noticed.
    std::string last_error_;
};

} // namespace mangovane

#endif
