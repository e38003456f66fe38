// Keeps the settings of one instance up to date from the platform and from peers.
//
// Small texts come from the peer that announced the version. When no peer delivers, for instance
// because the text does not fit a frame, the text is read from the platform.
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

/// Place of an instance among the live ones. It spreads the reads of the head over time.
struct instance_rank
{
    std::size_t rank{0};  ///< Of this instance, in an order that all instances share.
    std::size_t count{1}; ///< Live instances.

    auto operator<=>(const instance_rank&) const = default;
};

/// An instance reads the head at most twice a second.
inline constexpr milliseconds min_head_poll_period{500};

/// All instances together read the head at most this often a second.
inline constexpr std::uint32_t max_fleet_head_reads_per_s = 20;

/// Time after which a peer that was asked is taken not to have the text.
inline constexpr milliseconds peer_response_timeout{500};

/// Instances that lack a version turn to the platform one after the other, by rank: together they
/// read at most 200 rows a second, a tenth of what the platform gives.
inline constexpr milliseconds platform_read_stagger{5};

/// Largest text that is sent to a peer: a frame has 64 KB and carries more than the text.
inline constexpr std::size_t max_peer_text_bytes = 60U * 1024;

/// Period between two reads of the head by one instance.
[[nodiscard]] milliseconds head_poll_period(std::size_t instances) noexcept;

/// Thread-safe. Handlers of the platform's calls hold weak references only.
class settings_watcher : public std::enable_shared_from_this<settings_watcher>
{
public:
    /// Puts a snapshot in force; called without a lock, possibly from several threads.
    using adopt_function = std::function<adopt_result(settings_ptr)>;

    /// `registry` is the one that `adopt` changes; both outlive the watcher.
    settings_watcher(settings_store store, settings_registry& registry, adopt_function adopt);

    /// Starts reads that are due. Called at least each 50 ms. `since_epoch` is the time of day: its
    /// phase is shared by the instances, unlike that of their steady clocks.
    void tick(time_point now, milliseconds since_epoch, instance_rank position);

    /// A member announced a version. Returns the question to it, if one is due.
    [[nodiscard]] std::optional<outgoing_message>
    on_announced(instance_id member, settings_stamp stamp, time_point now);

    /// The answer to a peer that asks; nothing when it has as much or the text is too long.
    [[nodiscard]] std::optional<settings_content> on_query(const settings_query& msg) const;

    /// A text from a peer.
    void on_content(const settings_content& msg);

    /// Whether the instance may become ready: it has a version at least as new as any it heard of,
    /// and has heard the platform, or found it unreachable.
    [[nodiscard]] bool may_become_ready() const;

    /// Last successful read of the head; nothing before the first.
    [[nodiscard]] std::optional<time_point> last_contact() const;

    /// Why the last text was refused; empty when it was not.
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
    std::optional<time_point> last_read_; ///< Start of the last read of the head.
    std::int64_t last_slot_{-1};          ///< Number of the period in which it was.
    std::optional<time_point> last_contact_;
    platform_state platform_{platform_state::unknown};
    std::optional<time_point> peer_queried_at_;
    std::optional<time_point> fetched_at_;
    std::optional<time_point> outdated_since_; ///< First notice of a version that is still missing.
    std::string last_error_;
};

} // namespace mangovane

#endif
