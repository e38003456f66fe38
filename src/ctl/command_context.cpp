// Calls to the settings store, and errors and files of commands.
#include "ctl/command_context.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include <absl/strings/str_cat.h>

#include "mangovane/core/time.hpp"

namespace mangovane::ctl
{

namespace
{

/// Timeout of each call to the platform.
constexpr seconds platform_call_timeout{10};

time_point call_deadline()
{
    return clock::now() + platform_call_timeout;
}

} // namespace

command_context::command_context(command_line line)
    : args_{std::move(line)}, platform_{make_http_platform(io_, args_.platform)}, store_{*platform_,
                                                                                         *platform_}
{}

absl::StatusOr<current_settings> command_context::current()
{
    using head_answer = absl::StatusOr<std::optional<settings_record>>;
    const auto head = run_until_complete<head_answer>(
        [&](auto handler) { store_.read_head(call_deadline(), std::move(handler)); });
    if (!head.ok())
    {
        return head.status();
    }
    if (!head->has_value())
    {
        return current_settings{};
    }
    auto text = run_until_complete<absl::StatusOr<std::string>>(
        [&](auto handler) { store_.read_text(**head, call_deadline(), std::move(handler)); });
    if (!text.ok())
    {
        return text.status();
    }
    return current_settings{**head, *std::move(text)};
}

absl::StatusOr<std::vector<settings_record>> command_context::history()
{
    return run_until_complete<absl::StatusOr<std::vector<settings_record>>>(
        [&](auto handler)
        { store_.history(args_.max_changes, call_deadline(), std::move(handler)); });
}

apply_outcome command_context::apply(settings_change change)
{
    return run_until_complete<apply_outcome>(
        [&](auto handler)
        { store_.apply(std::move(change), call_deadline(), std::move(handler)); });
}

apply_outcome command_context::rollback(std::uint64_t version, settings_change change)
{
    return run_until_complete<apply_outcome>(
        [&](auto handler)
        { store_.rollback(version, std::move(change), call_deadline(), std::move(handler)); });
}

int report_error(const absl::Status& status)
{
    std::cerr << "mangovanectl: " << status.message() << '\n';
    switch (status.code())
    {
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
    case absl::StatusCode::kResourceExhausted:
        return exit_unreachable;
    case absl::StatusCode::kInvalidArgument:
        return exit_usage;
    default:
        return exit_failed;
    }
}

absl::StatusOr<std::string> read_file(const std::string& name)
{
    std::ostringstream text;
    if (name == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file{name};
    if (!file)
    {
        return absl::NotFoundError(absl::StrCat(name, ": cannot open file"));
    }
    text << file.rdbuf();
    return text.str();
}

} // namespace mangovane::ctl
