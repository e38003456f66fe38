// Accepted versions of the settings on the platform, and how a change becomes one.
//
// The text of version N is the object `settings/<N>-<change id>`. Two rows describe the change: the
// head row `settings/head`, and the history row `settings/version/<N>`. One transaction writes
// both, each on condition that no other change made version N. The history row therefore tells for
// good which change became version N, also to a writer whose answer was lost.
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

/// One accepted change, as the head row and the history rows hold it.
struct settings_record
{
    std::uint64_t version{0};
    std::string change_id;
    std::string author;
    std::string object; ///< Name of the object with the text.
    std::uint64_t digest{0};
    std::string previous; ///< Object of the version before; empty for the first.

    [[nodiscard]] settings_stamp stamp() const noexcept { return {version, digest}; }

    auto operator<=>(const settings_record&) const = default;
};

/// JSON of a head or history row.
[[nodiscard]] std::string to_json(const settings_record& head);
[[nodiscard]] absl::StatusOr<settings_record> parse_settings_record(std::string_view text);

/// What an operator wants to put in force.
struct settings_change
{
    std::string change_id; ///< Unique for the change; a retry has the same one.
    std::string author;
    std::string text;
    std::optional<std::uint64_t> base; ///< Version that was edited; nothing: whatever is newest.

    auto operator<=>(const settings_change&) const = default;
};

enum class apply_result : std::uint8_t
{
    applied,
    already_applied, ///< By an earlier attempt with the same change id.
    invalid,
    conflict,        ///< Another change came first.
    unknown,         ///< The platform did not answer; the change may have been applied.
    failed,          ///< The platform did not answer; the change was not applied.
    no_such_version, ///< Nothing to roll back to.
};

struct apply_outcome
{
    apply_result result{apply_result::failed};
    settings_record head;               ///< The own change, or the one in the way.
    std::vector<settings_error> errors; ///< For `invalid`.
    std::string error;                  ///< For `conflict`, `unknown` and `failed`.

    bool operator==(const apply_outcome&) const = default;
};

/// Stateless; the platform's services outlive every call. Handlers follow the rules of the
/// services.
class settings_store
{
public:
    using record_handler = std::function<void(absl::StatusOr<std::optional<settings_record>>)>;
    using text_handler = std::function<void(absl::StatusOr<std::string>)>;
    using history_handler = std::function<void(absl::StatusOr<std::vector<settings_record>>)>;
    using apply_handler = std::function<void(const apply_outcome&)>;

    settings_store(table_service& table, object_store& objects) : table_{table}, objects_{objects}
    {}

    /// The newest change; nothing before the first.
    void read_head(time_point deadline, record_handler handler) const;

    /// The change that made a version; nothing when there is none.
    void read_version(std::uint64_t version, time_point deadline, record_handler handler) const;

    /// The text of a change; an error when it does not match the digest.
    void read_text(const settings_record& head, time_point deadline, text_handler handler) const;

    /// The newest changes, newest first.
    void history(std::size_t count, time_point deadline, history_handler handler) const;

    /// Checks, stores and puts a change in force.
    void apply(settings_change change, time_point deadline, apply_handler handler) const;

    /// Applies the text of an old version as a new version.
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
