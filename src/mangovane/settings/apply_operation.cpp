// Implementation of the state machine that applies a change.
#include "mangovane/settings/apply_operation.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "mangovane/core/hash.hpp"
#include "mangovane/settings/check.hpp"

namespace mangovane::internal
{

namespace
{

/// Maximum attempts of a write whose effect is unknown. Its conditions prevent a second effect.
constexpr std::uint32_t max_write_attempts = 3;

/// Number of versions searched for an earlier attempt when a change does not name its base version.
/// At 1,900 changes per day it covers about an hour.
constexpr std::uint64_t max_search_depth = 80;

} // namespace

std::string history_key(std::uint64_t version)
{
    return absl::StrCat("settings/version/", version);
}

apply_operation::apply_operation(table_service& table,
                                 object_store& objects,
                                 settings_change change,
                                 time_point deadline,
                                 settings_store::apply_handler handler)
    : table_{table}, objects_{objects}, change_{std::move(change)}, deadline_{deadline},
      handler_{std::move(handler)}
{}

void apply_operation::start()
{
    table_.read(settings_head_key, deadline_,
                [self = shared_from_this()](const row_response& row) { self->on_head(row); });
}

void apply_operation::on_head(const row_response& row)
{
    if (!row.ok())
    {
        fail(std::string{row.status().message()});
        return;
    }
    if (!row->has_value())
    {
        prepare();
        return;
    }
    auto head = parse_settings_record((*row)->value);
    if (!head.ok())
    {
        fail(std::string{head.status().message()});
        return;
    }
    head_ = *std::move(head);
    head_revision_ = (*row)->revision;
    if (head_.change_id == change_.change_id)
    {
        finish_if_recorded((*row)->value);
        return;
    }
    search_history(head_.version - 1);
}

void apply_operation::search_history(std::uint64_t version)
{
    const auto oldest = head_.version > max_search_depth ? head_.version - max_search_depth : 0;
    if (version <= std::max(oldest, change_.base.value_or(0)))
    {
        prepare();
        return;
    }
    table_.read(history_key(version), deadline_,
                [self = shared_from_this(), version](const row_response& row)
                { self->on_history(version, row); });
}

void apply_operation::on_history(std::uint64_t version, const row_response& row)
{
    if (!row.ok())
    {
        fail(std::string{row.status().message()});
        return;
    }
    const auto change = row->has_value() ? parse_settings_record((*row)->value)
                                         : absl::StatusOr<settings_record>{settings_record{}};
    if (change.ok() && change->change_id == change_.change_id)
    {
        finish_if_recorded((*row)->value);
        return;
    }
    search_history(version - 1);
}

void apply_operation::prepare()
{
    if (change_.base && *change_.base != head_.version)
    {
        finish_with_conflict(head_);
        return;
    }
    auto checked = check_settings(change_.text);
    if (!checked.valid())
    {
        handler_({apply_result::invalid, head_, std::move(checked.errors), {}});
        return;
    }
    proposed_.version = head_.version + 1;
    proposed_.change_id = change_.change_id;
    proposed_.author = change_.author;
    proposed_.object = absl::StrCat("settings/", proposed_.version, "-", proposed_.change_id);
    proposed_.digest = hash_bytes(change_.text);
    proposed_.previous = head_.object;
    put_object();
}

void apply_operation::put_object()
{
    objects_.put(proposed_.object, change_.text, deadline_,
                 [self = shared_from_this()](const absl::Status& status)
                 {
                     if (!status.ok())
                     {
                         self->fail(std::string{status.message()});
                         return;
                     }
                     self->write();
                 });
}

void apply_operation::write()
{
    ++write_attempts_;
    const auto value = to_json(proposed_);
    table_.write(
        {{settings_head_key, value, head_revision_}, {history_key(proposed_.version), value, 0}},
        deadline_,
        [self = shared_from_this()](const write_response& response)
        { self->on_written(response); });
}

void apply_operation::on_written(const write_response& response)
{
    if (!response.ok() || response->size() != 2)
    {
        write_in_doubt_ = true;
        read_back();
        return;
    }
    if (response->front().applied)
    {
        finish(apply_result::applied, proposed_);
        return;
    }
    // The history row of this version exists: the change that created the version wrote it.
    if (!finish_if_recorded(response->back().current.value))
    {
        fail("the history row of the version cannot be parsed");
    }
}

void apply_operation::read_back()
{
    table_.read(history_key(proposed_.version), deadline_,
                [self = shared_from_this()](const row_response& row) { self->on_read_back(row); });
}

void apply_operation::on_read_back(const row_response& row)
{
    if (row.ok() && row->has_value() && finish_if_recorded((*row)->value))
    {
        return;
    }
    if (write_attempts_ < max_write_attempts)
    {
        write();
        return;
    }
    fail(row.ok() ? "the platform does not confirm the change"
                  : std::string{row.status().message()});
}

bool apply_operation::finish_if_recorded(const std::string& row)
{
    const auto change = parse_settings_record(row);
    if (!change.ok())
    {
        return false;
    }
    if (change->change_id != change_.change_id)
    {
        finish_with_conflict(*change);
    }
    else if (change->digest != hash_bytes(change_.text))
    {
        finish(apply_result::conflict, *change, "the change id was used for a different text");
    }
    else
    {
        finish(write_attempts_ == 0 ? apply_result::already_applied : apply_result::applied,
               *change);
    }
    return true;
}

void apply_operation::finish(apply_result result, settings_record head, std::string error)
{
    handler_({result, std::move(head), {}, std::move(error)});
}

void apply_operation::fail(std::string error)
{
    finish(write_in_doubt_ ? apply_result::unknown : apply_result::failed, head_, std::move(error));
}

void apply_operation::finish_with_conflict(const settings_record& other)
{
    finish(apply_result::conflict, other,
           absl::StrCat("version ", other.version, " was made by ", other.author, " (change ",
                        other.change_id, ")"));
}

} // namespace mangovane::internal
