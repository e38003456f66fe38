// Implementation of the child processes.
#include "process/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mangovane::test
{

namespace
{

namespace asio = boost::asio;

const std::string programs = MANGOVANE_PROGRAM_FOLDER;
constexpr milliseconds poll_period{20};
constexpr milliseconds stop_timeout{5000};

std::vector<char*> pointers_to(std::vector<std::string>& texts)
{
    std::vector<char*> result;
    for (auto& it : texts)
    {
        result.push_back(it.data());
    }
    result.push_back(nullptr);
    return result;
}

pid_t spawn(std::vector<std::string> args, int out)
{
    args.front() = programs + "/" + args.front();
    const auto argv = pointers_to(args);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, out, STDOUT_FILENO);
    const char* log = std::getenv("MANGOVANE_TEST_LOG"); // Log file for debugging.
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log == nullptr ? "/dev/null" : log,
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    pid_t pid = -1;
    const int error =
        posix_spawn(&pid, args.front().c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
    {
        throw std::runtime_error{"cannot start " + args.front()};
    }
    return pid;
}

} // namespace

child_process::child_process(const std::vector<std::string>& args, bool reads_port)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0)
    {
        throw std::runtime_error{"cannot create a pipe"};
    }
    pid_ = spawn(args, ends[1]);
    close(ends[1]);
    FILE* out = fdopen(ends[0], "r");
    const bool found = !reads_port || std::fscanf(out, "listening %d", &port_) == 1;
    std::fclose(out);
    if (!found)
    {
        throw std::runtime_error{args.front() + " did not print its port"};
    }
}

child_process::child_process(const std::vector<std::string>& args, const std::string& log_file)
{
    const int out = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (out < 0)
    {
        throw std::runtime_error{"cannot write " + log_file};
    }
    pid_ = spawn(args, out);
    close(out);
}

child_process::~child_process()
{
    if (code_)
    {
        return;
    }
    signal(SIGCONT);
    signal(SIGTERM);
    if (!wait(stop_timeout))
    {
        signal(SIGKILL);
        wait(stop_timeout);
    }
}

void child_process::signal(int number) const
{
    if (pid_ > 0)
    {
        kill(pid_, number);
    }
}

std::size_t child_process::peak_memory_kb() const
{
    std::ifstream in{"/proc/" + std::to_string(pid_) + "/status"};
    for (std::string field; in >> field;)
    {
        if (field == "VmHWM:")
        {
            std::size_t result = 0;
            in >> result;
            return result;
        }
    }
    return 0;
}

std::size_t child_process::open_descriptors() const
{
    std::error_code ec;
    const std::filesystem::directory_iterator entries{"/proc/" + std::to_string(pid_) + "/fd", ec};
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::optional<int> child_process::wait(milliseconds timeout)
{
    const auto has_ended = [this]
    {
        int status = 0;
        if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            code_ = WIFEXITED(status) ? WEXITSTATUS(status) : ended_by_signal;
        }
        return code_.has_value();
    };
    static_cast<void>(eventually(has_ended, timeout));
    return code_;
}

program_result run_program(const std::string& command_line)
{
    program_result result;
    FILE* out = popen((programs + "/" + command_line + " 2>&1").c_str(), "r");
    std::array<char, 512> buf{};
    while (std::fgets(buf.data(), buf.size(), out) != nullptr)
    {
        result.output += buf.data();
    }
    result.code = WEXITSTATUS(pclose(out));
    return result;
}

bool eventually(const std::function<bool()>& condition, milliseconds timeout)
{
    const auto until = clock::now() + timeout;
    while (!condition())
    {
        if (clock::now() > until)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_period);
    }
    return true;
}

std::string free_address()
{
    constexpr int first = 20000;
    constexpr int count = 10000;
    static int next = static_cast<int>(getpid()) * 97 % count;
    asio::io_context io;
    for (int n = 0; n != count; ++n)
    {
        const auto port = static_cast<unsigned short>(first + next++ % count);
        asio::ip::tcp::acceptor probe{io};
        boost::system::error_code ec;
        probe.open(asio::ip::tcp::v4(), ec);
        probe.bind({asio::ip::address_v4::loopback(), port}, ec);
        if (!ec)
        {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error{"no free port"};
}

} // namespace mangovane::test
