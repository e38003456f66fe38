// Commands that make a new version.
#include <array>
#include <charconv>
#include <iostream>
#include <random>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/json.hpp>

#include "ctl/commands.hpp"
#include "ctl/operator_client.hpp"
#include "mangovane/settings/edit.hpp"

namespace mangovane::ctl
{

namespace
{

/// How often an edit of a list is repeated on a newer version after a conflict.
constexpr int max_edit_rounds = 5;

struct outcome_row
{
    apply_result result;
    std::string_view name;
    int code;
};

constexpr std::array outcomes{
    outcome_row{apply_result::applied, "applied", exit_ok},
    outcome_row{apply_result::already_applied, "already applied", exit_ok},
    outcome_row{apply_result::invalid, "invalid", exit_invalid},
    outcome_row{apply_result::conflict, "conflict", exit_conflict},
    outcome_row{apply_result::unknown, "unknown", exit_unreachable},
    outcome_row{apply_result::failed, "failed", exit_unreachable},
    outcome_row{apply_result::no_such_version, "failed", exit_failed},
};

const outcome_row& row_of(apply_result result)
{
    for (const auto& it : outcomes)
    {
        if (it.result == result)
        {
            return it;
        }
    }
    return outcomes.back();
}

std::string random_id()
{
    std::random_device device;
    std::string result;
    for (int n = 0; n != 4; ++n)
    {
        result += absl::StrFormat("%08x", device());
    }
    return result;
}

void print_json(const outcome_row& row, const apply_outcome& outcome, const std::string& change_id)
{
    boost::json::object result;
    result["result"] = boost::json::string_view{row.name.data(), row.name.size()};
    result["version"] = outcome.head.version;
    result["author"] = outcome.head.author;
    result["change_id"] = change_id;
    result["error"] = outcome.error;
    result["mistakes"] = to_text(outcome.errors);
    std::cout << result << '\n';
}

void print_text(const outcome_row& row, const apply_outcome& outcome)
{
    if (row.code == exit_ok)
    {
        std::cout << row.name << ": version " << outcome.head.version << '\n';
        return;
    }
    std::cerr << "mangovanectl: " << row.name << ": " << outcome.error << to_text(outcome.errors)
              << '\n';
}

/// Tells how to settle a change whose effect is not known.
void print_retry_hint(const apply_outcome& outcome, const std::string& change_id)
{
    if (outcome.result == apply_result::unknown)
    {
        std::cerr << "the change may have been applied; repeat the command with --change-id "
                  << change_id << '\n';
    }
}

int report_outcome(session& run, const apply_outcome& outcome, const std::string& change_id)
{
    const auto& row = row_of(outcome.result);
    if (run.line().json)
    {
        print_json(row, outcome, change_id);
    }
    else
    {
        print_text(row, outcome);
    }
    print_retry_hint(outcome, change_id);
    if (row.code != exit_ok || !run.line().wait_s)
    {
        return row.code;
    }
    return wait_for_version(run.line().operator_address, cluster_key(), outcome.head.version,
                            *run.line().wait_s);
}

/// Reads, edits and applies; a conflict is resolved by editing the newer version.
int change_list(session& run, std::string_view key, list_edit edit)
{
    auto change = new_change(run);
    apply_outcome outcome;
    for (int n = 0; n != max_edit_rounds; ++n)
    {
        const auto current = run.current();
        if (!current.ok())
        {
            return report_error(current.status());
        }
        auto text = edit_list(current->text, key, run.line().words[2], edit);
        if (!text.ok())
        {
            std::cerr << "mangovanectl: " << text.status().message() << '\n';
            return exit_invalid;
        }
        if (*text == current->text)
        {
            return report_outcome(run, {apply_result::already_applied, current->head, {}, {}},
                                  change.change_id);
        }
        change.text = *std::move(text);
        change.base = current->head.version;
        outcome = run.apply(change);
        if (outcome.result != apply_result::conflict)
        {
            break;
        }
    }
    return report_outcome(run, outcome, change.change_id);
}

} // namespace

settings_change new_change(const session& run)
{
    settings_change result;
    result.change_id = run.line().change_id.empty() ? random_id() : run.line().change_id;
    result.author = run.line().author;
    result.base = run.line().base;
    return result;
}

int apply(session& run)
{
    auto text = read_file(run.line().words[2]);
    if (!text.ok())
    {
        return report_error(text.status());
    }
    auto change = new_change(run);
    change.text = *std::move(text);
    const auto id = change.change_id;
    return report_outcome(run, run.apply(std::move(change)), id);
}

int rollback(session& run)
{
    const auto& word = run.line().words[2];
    std::uint64_t version = 0;
    const auto [end, ec] = std::from_chars(word.data(), word.data() + word.size(), version);
    if (ec != std::errc{} || end != word.data() + word.size() || version == 0)
    {
        std::cerr << "mangovanectl: not a version: " << word << '\n';
        return exit_usage;
    }
    auto change = new_change(run);
    const auto id = change.change_id;
    return report_outcome(run, run.rollback(version, std::move(change)), id);
}

int domain_out(session& run)
{
    return change_list(run, "domains_out", list_edit::add);
}

int domain_in(session& run)
{
    return change_list(run, "domains_out", list_edit::remove);
}

int endpoint_drain(session& run)
{
    return change_list(run, "endpoints_drained", list_edit::add);
}

int endpoint_undrain(session& run)
{
    return change_list(run, "endpoints_drained", list_edit::remove);
}

} // namespace mangovane::ctl
