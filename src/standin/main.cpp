// Test program with stand-ins for the systems around mangovane, one per sub-command.
#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "standin/commands.hpp"

namespace
{

struct command
{
    std::string_view name;
    int (*run)(const std::vector<std::string>& args);
};

constexpr std::array commands{command{"engine", &mangovane::standin::run_engine},
                              command{"fleet-engine", &mangovane::standin::run_fleet_engine},
                              command{"fleet-store", &mangovane::standin::run_fleet_store},
                              command{"platform", &mangovane::standin::run_platform},
                              command{"service", &mangovane::standin::run_service}};

int usage()
{
    std::cerr << "usage: mangovane-standin COMMAND --listen IP:PORT [options]\ncommands:";
    for (const auto& it : commands)
    {
        std::cerr << ' ' << it.name;
    }
    std::cerr << '\n';
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2)
    {
        return usage();
    }
    const std::string_view name{argv[1]};
    for (const auto& it : commands)
    {
        if (it.name == name)
        {
            return it.run(std::vector<std::string>(argv + 2, argv + argc));
        }
    }
    return usage();
}
