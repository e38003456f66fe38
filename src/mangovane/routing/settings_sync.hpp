// Spreads settings between instances: asks a peer that has a newer version, and answers peers that
// ask.
#ifndef MANGOVANE_ROUTING_SETTINGS_SYNC_HPP
#define MANGOVANE_ROUTING_SETTINGS_SYNC_HPP

#include <functional>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>

#include "mangovane/routing/instance_state.hpp"

namespace mangovane
{

/// Reads the text of a settings version.
using settings_parser =
    std::function<absl::StatusOr<settings_ptr>(std::string text, std::uint64_t version)>;

class settings_sync
{
public:
    /// The state outlives it. Without a parser, texts have the product's own format.
    /// `pause` is the least time between two questions: an answer may take as long on thin links.
    explicit settings_sync(instance_state& state,
                           settings_parser parser = {},
                           milliseconds pause = milliseconds{300});

    [[nodiscard]] outgoing_messages on(instance_id from, const settings_query& msg) const;

    /// Puts the content in force if it is newer and valid.
    void on(instance_id from, const settings_content& msg);

    /// Asks the holder of the newest version that was heard of, at most once in the pause.
    [[nodiscard]] outgoing_messages tick(time_point now);

private:
    instance_state& state_;
    const settings_parser parser_;
    const milliseconds pause_;
    std::mutex mutex_;
    time_point asked_at_{}; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
