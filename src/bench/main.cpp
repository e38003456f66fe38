// Entry point of mangovane-bench: dispatches to the measurement named by the sub-command.
#include <algorithm>
#include <array>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "bench/commands.hpp"

namespace
{

struct command
{
    std::string_view name;
    int (*run)(const std::vector<std::string>& args);
};

constexpr std::array commands{
    command{"reuse", &mangovane::bench::run_reuse},
    command{"decision", &mangovane::bench::run_decision},
    command{"path", &mangovane::bench::run_path},
    command{"control", &mangovane::bench::run_control},
};

int usage()
{
    std::cerr << "usage: mangovane-bench COMMAND [--json] [options]\ncommands:";
    for (const auto& it : commands)
    {
        std::cerr << ' ' << it.name;
    }
    std::cerr << '\n';
    return 2;
}

int run(int argc, char** argv)
{
    const std::string_view name{argc < 2 ? "" : argv[1]};
    const auto it = std::find_if(commands.begin(), commands.end(),
                                 [&](const command& entry) { return entry.name == name; });
    return it == commands.end() ? usage()
                                : it->run(std::vector<std::string>(argv + 2, argv + argc));
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& e)
    {
        std::cerr << "mangovane-bench: " << e.what() << '\n';
        return 1;
    }
}
