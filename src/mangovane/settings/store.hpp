// Settings versions stored on the platform, and the protocol that adds one.
//
// The text of version N is the object `settings/<N>-<change id>`. Two rows describe the change: the
// head row `settings/head`, and the history row `settings/version/<N>`. One transaction writes
// both, each on condition that no other change created version N. The history row therefore records
// permanently which change became version N, also for a writer whose response was lost.
#ifndef MANGOVANE_SETTINGS_STORE_HPP
#define MANGOVANE_SETTINGS_STORE_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "mangovane/message/membership.hpp"
#include "mangovane/settings/settings_error.hpp"
#include "mangovane/store/table_service.hpp"

namespace mangovane
{

inline constexpr const char* settings_head_key = "settings/head";

/// One accepted change, as stored in the head row and the history rows.
struct settings_record
{
    std::uint64_t version{0};
    std::string change_id;
    std::string author;
    std::string object; ///< Name of the object with the text.
    std::uint64_t digest{0};
    std::string previous; ///< Object of the previous version; empty for the first.

    [[nodiscard]] settings_stamp stamp() const noexcept { return {version, digest}; }

    auto operator<=>(const settings_record&) const = default;
};

/// JSON value of a head or history row.
[[nodiscard]] std::string to_json(const settings_record& head);

/// Error: DataLoss.
[[nodiscard]] absl::StatusOr<settings_record> parse_settings_record(std::string_view text);

/// A change requested by an operator.
struct settings_change
{
    std::string change_id; ///< Unique for each change; retries use the same id.
    std::string author;
    std::string text;
    std::optional<std::uint64_t> base; ///< Version that was edited; nothing: the newest.

    auto operator<=>(const settings_change&) const = default;
};

enum class apply_result : std::uint8_t
{
    applied,
    already_applied, ///< By an earlier attempt with the same change id.
    invalid,
    conflict,        ///< Another change was applied first.
    unknown,         ///< The platform did not respond; the change may have been applied.
    failed,          ///< The platform did not respond; the change was not applied.
    no_such_version, ///< The version to roll back to does not exist.
};

struct apply_outcome
{
    apply_result result{apply_result::failed};
    settings_record head;               ///< This change, or the conflicting one.
    std::vector<settings_error> errors; ///< For `invalid`.
    std::string error;                  ///< For `conflict`, `unknown` and `failed`.

    bool operator==(const apply_outcome&) const = default;
};

/// Reads and changes the settings on the platform. Stateless; the platform's services must outlive
/// every call. Each handler is called exactly once, never from inside the call.
class settings_store
{
public:
    using record_handler = std::function<void(absl::StatusOr<std::optional<settings_record>>)>;
    using text_handler = std::function<void(absl::StatusOr<std::string>)>;
    using history_handler = std::function<void(absl::StatusOr<std::vector<settings_record>>)>;
    using apply_handler = std::function<void(const apply_outcome&)>;

    settings_store(table_service& table, object_store& objects) : table_{table}, objects_{objects}
    {}

    /// Reads the newest change; nothing before the first.
    void read_head(time_point deadline, record_handler handler) const;

    /// Reads the change that created a version; nothing if the version does not exist.
    void read_version(std::uint64_t version, time_point deadline, record_handler handler) const;

    /// Reads the text of a change. Error: DataLoss when it does not match the digest.
    void read_text(const settings_record& head, time_point deadline, text_handler handler) const;

    /// Reads up to `count` changes, newest first.
    void history(std::size_t count, time_point deadline, history_handler handler) const;

    /// Validates a change, stores its text and makes it the newest version.
    void apply(settings_change change, time_point deadline, apply_handler handler) const;

    /// Applies the text of an earlier version as a new version.
    void rollback(std::uint64_t version,
                  settings_change change,
                  time_point deadline,
                  apply_handler handler) const;

private:
    void read_row(std::string key, time_point deadline, record_handler handler) const;

    table_service& table_;
    object_store& objects_;
};

} // namespace mangovane

#endif
