// Child processes of the tests: started with posix_spawn, ended by their id.
#ifndef MANGOVANE_TEST_PROCESS_CHILD_PROCESS_HPP
#define MANGOVANE_TEST_PROCESS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

/// Exit code reported for a child that a signal ended.
constexpr int ended_by_signal = 128;

class child_process
{
public:
    /// The first argument is the name of a program of this build. With `reads_port` the child is
    /// expected to print "listening PORT" first.
    explicit child_process(const std::vector<std::string>& args, bool reads_port = false);

    /// Appends the child's standard output to a file.
    child_process(const std::vector<std::string>& args, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    void signal(int number) const;

    /// Exit code of the child; empty when it still runs at the end of `limit`.
    std::optional<int> wait(milliseconds limit);

private:
    pid_t pid_{-1}; ///< -1 once the child has been waited for.
    int port_{0};
    std::optional<int> code_;
};

struct program_result
{
    int code{-1};
    std::string output; ///< Standard output and error.

    bool operator==(const program_result&) const = default;
};

/// Runs a program of this build to its end.
[[nodiscard]] program_result run_program(const std::string& command_line);

/// Polls the condition; false when it does not hold within `limit`.
[[nodiscard]] bool eventually(const std::function<bool()>& condition, milliseconds limit);

/// An ip:port on loopback that is free now, below the range of ports of outgoing connections.
[[nodiscard]] std::string free_address();

} // namespace mangovane::test

#endif
