// Commands that create a new version of the settings.
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

/// Attempts to edit a list, each on the newest version, if other changes conflict.
constexpr int max_edit_attempts = 5;

/// Name and exit code of a result.
struct outcome_info
{
    apply_result result;
    std::string_view name;
    int code;
};

constexpr std::array outcome_infos{
    outcome_info{apply_result::applied, "applied", exit_ok},
    outcome_info{apply_result::already_applied, "already applied", exit_ok},
    outcome_info{apply_result::invalid, "invalid", exit_invalid},
    outcome_info{apply_result::conflict, "conflict", exit_conflict},
    outcome_info{apply_result::unknown, "unknown", exit_unreachable},
    outcome_info{apply_result::failed, "failed", exit_unreachable},
    outcome_info{apply_result::no_such_version, "failed", exit_failed},
};

const outcome_info& info_of(apply_result result)
{
    for (const auto& it : outcome_infos)
    {
        if (it.result == result)
        {
            return it;
        }
    }
    return outcome_infos.back();
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

void print_json(const outcome_info& info,
                const apply_outcome& outcome,
                const std::string& change_id)
{
    boost::json::object result;
    result["result"] = boost::json::string_view{info.name.data(), info.name.size()};
    result["version"] = outcome.head.version;
    result["author"] = outcome.head.author;
    result["change_id"] = change_id;
    result["error"] = outcome.error;
    result["mistakes"] = to_text(outcome.errors);
    std::cout << result << '\n';
}

void print_text(const outcome_info& info, const apply_outcome& outcome)
{
    if (info.code == exit_ok)
    {
        std::cout << info.name << ": version " << outcome.head.version << '\n';
        return;
    }
    std::cerr << "mangovanectl: " << info.name << ": " << outcome.error << to_text(outcome.errors)
              << '\n';
}

/// Explains how to retry a change that may or may not have been applied.
void print_retry_hint(const apply_outcome& outcome, const std::string& change_id)
{
    if (outcome.result == apply_result::unknown)
    {
        std::cerr << "the change may have been applied; repeat the command with --change-id "
                  << change_id << '\n';
    }
}

/// Prints the outcome; with `--wait`, waits until the version is in force. Returns the exit code.
int report_outcome(command_context& context,
                   const apply_outcome& outcome,
                   const std::string& change_id)
{
    const auto& info = info_of(outcome.result);
    if (context.args().json)
    {
        print_json(info, outcome, change_id);
    }
    else
    {
        print_text(info, outcome);
    }
    print_retry_hint(outcome, change_id);
    if (info.code != exit_ok || !context.args().wait_s)
    {
        return info.code;
    }
    return wait_for_version(context.args().operator_address, cluster_key(), outcome.head.version,
                            *context.args().wait_s);
}

/// Edits a list in the newest settings and applies the result; a conflict is resolved by repeating
/// the edit on the newer version.
int change_list(command_context& context, std::string_view key, list_edit edit)
{
    auto change = new_change(context);
    apply_outcome outcome;
    for (int n = 0; n != max_edit_attempts; ++n)
    {
        const auto current = context.current();
        if (!current.ok())
        {
            return report_error(current.status());
        }
        auto text = edit_list(current->text, key, context.args().arguments[2], edit);
        if (!text.ok())
        {
            std::cerr << "mangovanectl: " << text.status().message() << '\n';
            return exit_invalid;
        }
        if (*text == current->text)
        {
            return report_outcome(context, {apply_result::already_applied, current->head, {}, {}},
                                  change.change_id);
        }
        change.text = *std::move(text);
        change.base = current->head.version;
        outcome = context.apply(change);
        if (outcome.result != apply_result::conflict)
        {
            break;
        }
    }
    return report_outcome(context, outcome, change.change_id);
}

} // namespace

settings_change new_change(const command_context& context)
{
    settings_change result;
    result.change_id = context.args().change_id.empty() ? random_id() : context.args().change_id;
    result.author = context.args().author;
    result.base = context.args().base;
    return result;
}

int apply(command_context& context)
{
    auto text = read_file(context.args().arguments[2]);
    if (!text.ok())
    {
        return report_error(text.status());
    }
    auto change = new_change(context);
    change.text = *std::move(text);
    const auto id = change.change_id;
    return report_outcome(context, context.apply(std::move(change)), id);
}

int rollback(command_context& context)
{
    const auto& word = context.args().arguments[2];
    std::uint64_t version = 0;
    const auto [end, ec] = std::from_chars(word.data(), word.data() + word.size(), version);
    if (ec != std::errc{} || end != word.data() + word.size() || version == 0)
    {
        std::cerr << "mangovanectl: not a version number: " << word << '\n';
        return exit_usage;
    }
    auto change = new_change(context);
    const auto id = change.change_id;
    return report_outcome(context, context.rollback(version, std::move(change)), id);
}

int domain_out(command_context& context)
{
    return change_list(context, "domains_out", list_edit::add);
}

int domain_in(command_context& context)
{
    return change_list(context, "domains_out", list_edit::remove);
}

int endpoint_drain(command_context& context)
{
    return change_list(context, "endpoints_drained", list_edit::add);
}

int endpoint_undrain(command_context& context)
{
    return change_list(context, "endpoints_drained", list_edit::remove);
}

} // namespace mangovane::ctl
