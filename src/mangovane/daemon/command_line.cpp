// Implementation of the command line.
#include "mangovane/daemon/command_line.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/program_options.hpp>

#include "mangovane/core/version.hpp"

namespace mangovane
{

namespace po = boost::program_options;

namespace
{

constexpr std::string_view flag_prefix = "--";

bool is_flag_with_value(std::string_view text, const po::options_description& known)
{
    if (!text.starts_with(flag_prefix))
    {
        return false;
    }
    const auto* option = known.find_nothrow(std::string{text.substr(flag_prefix.size())}, false);
    return option != nullptr && option->semantic()->max_tokens() != 0;
}

/// The arguments without the flags that were given no value, which keep their defaults: a
/// deployment that has no value for a placeholder leaves it out, or passes an empty text.
std::vector<std::string>
arguments_with_values(int argc, const char* const* argv, const po::options_description& known)
{
    std::vector<std::string> result;
    for (int n = 1; n < argc; ++n)
    {
        const std::string_view arg = argv[n];
        if (arg.ends_with('=') && is_flag_with_value(arg.substr(0, arg.size() - 1), known))
        {
            continue;
        }
        if (!is_flag_with_value(arg, known))
        {
            result.emplace_back(arg);
            continue;
        }
        const std::string_view next = n + 1 < argc ? argv[n + 1] : "";
        if (next.starts_with(flag_prefix))
        {
            continue;
        }
        ++n;
        if (!next.empty())
        {
            result.emplace_back(arg);
            result.emplace_back(next);
        }
    }
    return result;
}

} // namespace

void add_commands(po::options_description& known)
{
    auto add = known.add_options();
    add("help,h", "print this text");
    add("version", "print the version");
    add("check", "check the options and exit");
}

std::string option_name_from_environment(const std::string& variable,
                                         const po::options_description& known)
{
    constexpr std::string_view prefix = "MANGOVANE_";
    const char* value = std::getenv(variable.c_str());
    // A deployment that has no value for a placeholder sets the variable to an empty text.
    if (!variable.starts_with(prefix) || (value != nullptr && *value == '\0'))
    {
        return {};
    }
    std::string name = variable.substr(prefix.size());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   { return c == '_' ? '-' : static_cast<char>(std::tolower(c)); });
    return known.find_nothrow(name, false) != nullptr ? name : std::string{};
}

absl::StatusOr<router_command>
read_command_line(int argc, const char* const* argv, const po::options_description& known)
{
    po::variables_map values;
    try
    {
        po::store(
            po::command_line_parser(arguments_with_values(argc, argv, known)).options(known).run(),
            values);
        po::store(po::parse_environment(known, [&](const std::string& it)
                                        { return option_name_from_environment(it, known); }),
                  values);
        po::notify(values);
    }
    catch (const po::error& ex)
    {
        return absl::InvalidArgumentError(ex.what());
    }
    static constexpr std::array<std::pair<const char*, router_command>, 3> commands{
        {{"help", router_command::help},
         {"version", router_command::version},
         {"check", router_command::check}}};
    for (const auto& [name, command] : commands)
    {
        if (values.count(name) != 0)
        {
            return command;
        }
    }
    return router_command::run;
}

std::string cluster_key_from_environment()
{
    const char* key = std::getenv("MANGOVANE_CLUSTER_KEY");
    return key == nullptr ? "" : key;
}

std::optional<int>
execute_command(router_command command, const std::string& program, const std::string& help)
{
    switch (command)
    {
    case router_command::help:
        std::cout << help;
        return 0;
    case router_command::version:
        std::cout << program << ' ' << version_text << '\n';
        return 0;
    case router_command::check:
        std::cout << "the options are valid\n";
        return 0;
    case router_command::run:
        break;
    }
    return std::nullopt;
}

} // namespace mangovane
