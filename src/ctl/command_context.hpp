// Command line and settings store of one run of mangovanectl.
#ifndef MANGOVANE_CTL_COMMAND_CONTEXT_HPP
#define MANGOVANE_CTL_COMMAND_CONTEXT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "ctl/command_line.hpp"
#include "mangovane/settings/store.hpp"
#include "mangovane/store/http_platform.hpp"

namespace mangovane::ctl
{

/// The newest version of the settings.
struct current_settings
{
    settings_record head; ///< Version 0: no settings have been applied.
    std::string text;

    bool operator==(const current_settings&) const = default;
};

/// Passed to each command. Calls block until the platform has responded or a timeout has passed.
class command_context
{
public:
    explicit command_context(command_line line);

    [[nodiscard]] const command_line& args() const noexcept { return args_; }

    /// Reads the newest version.
    [[nodiscard]] absl::StatusOr<current_settings> current();

    /// Reads the heads of the newest versions, at most `max_changes` of the command line.
    [[nodiscard]] absl::StatusOr<std::vector<settings_record>> history();

    /// Stores the text of the change as a new version.
    [[nodiscard]] apply_outcome apply(settings_change change);

    /// Stores the text of an old version as a new version.
    [[nodiscard]] apply_outcome rollback(std::uint64_t version, settings_change change);

private:
    /// Runs the I/O context until the handler of the call has run.
    template <class Result, class Start>
    Result run_until_complete(Start start)
    {
        std::optional<Result> result;
        start([&result](Result value) { result = std::move(value); });
        io_.restart();
        while (!result && io_.run_one() != 0)
        {}
        return result ? std::move(*result) : Result{};
    }

    command_line args_;
    boost::asio::io_context io_;
    std::unique_ptr<http_platform> platform_;
    settings_store store_;
};

/// Prints an error to standard error and returns its exit code.
[[nodiscard]] int report_error(const absl::Status& status);

/// Content of a file; `-` is standard input. Errors: `kNotFound`.
[[nodiscard]] absl::StatusOr<std::string> read_file(const std::string& name);

} // namespace mangovane::ctl

#endif
