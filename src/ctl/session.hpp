// One run of mangovanectl: its command line and its connection to the platform.
#ifndef MANGOVANE_CTL_SESSION_HPP
#define MANGOVANE_CTL_SESSION_HPP

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

/// The newest version with its text.
struct current_settings
{
    settings_record head; ///< Version 0: there is none yet.
    std::string text;

    bool operator==(const current_settings&) const = default;
};

/// Calls return when the platform has answered.
class session
{
public:
    explicit session(command_line line);

    [[nodiscard]] const command_line& line() const noexcept { return line_; }

    [[nodiscard]] absl::StatusOr<current_settings> current();
    [[nodiscard]] absl::StatusOr<std::vector<settings_record>> history();
    [[nodiscard]] apply_outcome apply(settings_change change);
    [[nodiscard]] apply_outcome rollback(std::uint64_t version, settings_change change);

private:
    /// Runs the context until the handler was called.
    template <class Result, class Start>
    Result wait_for(Start start)
    {
        std::optional<Result> result;
        start([&result](Result value) { result = std::move(value); });
        io_.restart();
        while (!result && io_.run_one() != 0)
        {}
        return result ? std::move(*result) : Result{};
    }

    command_line line_;
    boost::asio::io_context io_;
    std::unique_ptr<http_platform> platform_;
    settings_store store_;
};

/// Prints an error and returns the exit code for it.
[[nodiscard]] int report_error(const absl::Status& status);

/// Content of a file; `-` is standard input.
[[nodiscard]] absl::StatusOr<std::string> read_file(const std::string& name);

} // namespace mangovane::ctl

#endif
