// Synchronises settings between instances: requests newer versions from a peer, and answers the
// requests of peers.
#ifndef MANGOVANE_ROUTING_SETTINGS_SYNC_HPP
#define MANGOVANE_ROUTING_SETTINGS_SYNC_HPP

#include <functional>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>

#include "mangovane/routing/instance_state.hpp"

namespace mangovane
{

/// Parses the text of a settings version.
using settings_parser =
    std::function<absl::StatusOr<settings_ptr>(std::string text, store_revision version)>;

class settings_sync
{
public:
    /// The state must outlive this object. The default parser is `parse_settings`.
    /// `min_query_interval` is the minimum time between two queries: over slow links an answer may
    /// take that long.
    explicit settings_sync(instance_state& state,
                           settings_parser parser = {},
                           milliseconds min_query_interval = milliseconds{300});

    [[nodiscard]] outgoing_messages on(instance_id from, const settings_query& msg) const;

    /// Applies the content if it is valid and newer than the current settings.
    void on(instance_id from, const settings_content& msg);

    /// Queries the instance that announced the newest version, at most once per
    /// `min_query_interval`.
    [[nodiscard]] outgoing_messages tick(time_point now);

private:
    instance_state& state_;
    const settings_parser parser_;
    const milliseconds min_query_interval_;
    std::mutex mutex_;
    time_point queried_at_{}; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
