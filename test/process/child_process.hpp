// Child processes of the tests, started with posix_spawn and signalled by process id.
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

/// Exit code reported for a child that was terminated by a signal.
constexpr int ended_by_signal = 128;

class child_process
{
public:
    /// The first argument is the name of a program of this build. With `reads_port` the
    /// constructor waits for the line "listening PORT".
    explicit child_process(const std::vector<std::string>& args, bool reads_port = false);

    /// Appends the child's standard output to a file.
    child_process(const std::vector<std::string>& args, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    void signal(int number) const;

    /// Largest resident size since the start of the process, in KB; 0 if it has ended.
    [[nodiscard]] std::size_t peak_memory_kb() const;

    /// Number of descriptors that the process has open; 0 if it has ended.
    [[nodiscard]] std::size_t open_descriptors() const;

    /// Exit code of the child; empty if it still runs after `timeout`.
    std::optional<int> wait(milliseconds timeout);

private:
    pid_t pid_{-1}; ///< -1 after the child was reaped.
    int port_{0};
    std::optional<int> code_;
};

struct program_result
{
    int code{-1};
    std::string output; ///< Standard output and error.

    bool operator==(const program_result&) const = default;
};

/// Runs a program of this build and waits until it exits.
[[nodiscard]] program_result run_program(const std::string& command_line);

/// Polls the condition; false if it does not hold within `timeout`.
[[nodiscard]] bool eventually(const std::function<bool()>& condition, milliseconds timeout);

/// A free loopback ip:port, below the ephemeral range so that outgoing connections do not take it.
[[nodiscard]] std::string free_address();

} // namespace mangovane::test

#endif
