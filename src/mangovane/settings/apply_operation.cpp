// Implementation of applying a change.
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

/// How often a write with an unknown effect is repeated. Its conditions keep it from acting twice.
constexpr std::uint32_t max_writes = 3;

/// How many versions back a retry is looked for when it does not name its base version: at 1,900
/// changes a day this covers about an hour.
constexpr std::uint64_t search_depth = 80;

} // namespace

std::string version_key(std::uint64_t version)
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
                [self = shared_from_this()](const row_answer& row) { self->on_head(row); });
}

void apply_operation::on_head(const row_answer& row)
{
    if (!row.ok())
    {
        give_up(std::string{row.status().message()});
        return;
    }
    if (!row->has_value())
    {
        prepare();
        return;
    }
    auto head = parse_head((*row)->value);
    if (!head.ok())
    {
        give_up(std::string{head.status().message()});
        return;
    }
    head_ = *std::move(head);
    head_revision_ = (*row)->revision;
    if (head_.change_id == change_.change_id)
    {
        decide((*row)->value);
        return;
    }
    search(head_.version - 1);
}

void apply_operation::search(std::uint64_t version)
{
    const auto oldest = head_.version > search_depth ? head_.version - search_depth : 0;
    if (version <= std::max(oldest, change_.base.value_or(0)))
    {
        prepare();
        return;
    }
    table_.read(version_key(version), deadline_,
                [self = shared_from_this(), version](const row_answer& row)
                { self->on_history(version, row); });
}

void apply_operation::on_history(std::uint64_t version, const row_answer& row)
{
    if (!row.ok())
    {
        give_up(std::string{row.status().message()});
        return;
    }
    const auto change = row->has_value() ? parse_head((*row)->value)
                                         : absl::StatusOr<settings_head>{settings_head{}};
    if (change.ok() && change->change_id == change_.change_id)
    {
        decide((*row)->value);
        return;
    }
    search(version - 1);
}

void apply_operation::prepare()
{
    if (change_.base && *change_.base != head_.version)
    {
        conflict_with(head_);
        return;
    }
    auto checked = check_settings(change_.text);
    if (!checked.valid())
    {
        handler_({apply_result::invalid, head_, std::move(checked.mistakes), {}});
        return;
    }
    wanted_.version = head_.version + 1;
    wanted_.change_id = change_.change_id;
    wanted_.author = change_.author;
    wanted_.object = absl::StrCat("settings/", wanted_.version, "-", wanted_.change_id);
    wanted_.digest = hash_bytes(change_.text);
    wanted_.previous = head_.object;
    put_object();
}

void apply_operation::put_object()
{
    objects_.put(wanted_.object, change_.text, deadline_,
                 [self = shared_from_this()](const absl::Status& status)
                 {
                     if (!status.ok())
                     {
                         self->give_up(std::string{status.message()});
                         return;
                     }
                     self->write();
                 });
}

void apply_operation::write()
{
    ++writes_;
    const auto value = to_json(wanted_);
    table_.write(
        {{settings_head_key, value, head_revision_}, {version_key(wanted_.version), value, 0}},
        deadline_,
        [self = shared_from_this()](const write_answer& answer) { self->on_written(answer); });
}

void apply_operation::on_written(const write_answer& answer)
{
    if (!answer.ok() || answer->size() != 2)
    {
        written_ = true;
        resolve();
        return;
    }
    if (answer->front().applied)
    {
        finish(apply_result::applied, wanted_);
        return;
    }
    // The history row of this version exists, for the change that made the version wrote it.
    if (!decide(answer->back().current.value))
    {
        give_up("the history row of the version is unreadable");
    }
}

void apply_operation::resolve()
{
    table_.read(version_key(wanted_.version), deadline_,
                [self = shared_from_this()](const row_answer& row) { self->on_resolved(row); });
}

void apply_operation::on_resolved(const row_answer& row)
{
    if (row.ok() && row->has_value() && decide((*row)->value))
    {
        return;
    }
    if (writes_ < max_writes)
    {
        write();
        return;
    }
    give_up(row.ok() ? "the platform does not confirm the change"
                     : std::string{row.status().message()});
}

bool apply_operation::decide(const std::string& row)
{
    const auto change = parse_head(row);
    if (!change.ok())
    {
        return false;
    }
    if (change->change_id != change_.change_id)
    {
        conflict_with(*change);
    }
    else if (change->digest != hash_bytes(change_.text))
    {
        finish(apply_result::conflict, *change, "the change id was used for another text");
    }
    else
    {
        finish(writes_ == 0 ? apply_result::already_applied : apply_result::applied, *change);
    }
    return true;
}

void apply_operation::finish(apply_result result, settings_head head, std::string error)
{
    handler_({result, std::move(head), {}, std::move(error)});
}

void apply_operation::give_up(std::string error)
{
    finish(written_ ? apply_result::unknown : apply_result::failed, head_, std::move(error));
}

void apply_operation::conflict_with(const settings_head& other)
{
    finish(apply_result::conflict, other,
           absl::StrCat("version ", other.version, " was made by ", other.author, " (change ",
                        other.change_id, ")"));
}

} // namespace mangovane::internal
