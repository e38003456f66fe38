// Sub-commands of the stand-in program. Each serves until SIGTERM and returns the exit code.
#ifndef MANGOVANE_STANDIN_COMMANDS_HPP
#define MANGOVANE_STANDIN_COMMANDS_HPP

#include <string>
#include <vector>

namespace mangovane::standin
{

int run_engine(const std::vector<std::string>& args);
int run_platform(const std::vector<std::string>& args);
int run_fleet_engine(const std::vector<std::string>& args);
int run_fleet_store(const std::vector<std::string>& args);
int run_service(const std::vector<std::string>& args);

} // namespace mangovane::standin

#endif
