// mangovanectl, the command-line tool for operators: table and dispatch of commands.
#include <array>
#include <cstdint>
#include <iostream>
#include <string_view>

#include "ctl/commands.hpp"
#include "mangovane/net/address.hpp"

namespace
{

using namespace mangovane::ctl;

/// What a command requires, as bit flags.
enum requirement : std::uint8_t
{
    needs_nothing = 0,
    needs_platform = 1,
    needs_author = 2,
    needs_operator = 4,
    hidden = 8, ///< Not in the help text.
};

constexpr std::uint8_t changes_settings = needs_platform | needs_author;

/// A command is named by one or two words and takes at most one argument.
struct command
{
    std::string_view group;
    std::string_view name;     ///< Empty: the group alone names the command.
    std::string_view argument; ///< Placeholder in the help text; empty: takes none.
    std::uint8_t requirements;
    int (*run)(command_context&);
    std::string_view help;
};

constexpr std::array commands{
    command{"settings", "show", "", needs_platform, &show, "print the newest settings"},
    command{"settings", "get", "PATH", needs_platform, &get, "print what a node sets itself"},
    command{"settings", "effective", "PATH", needs_platform, &effective,
            "print the effective settings of a node and their origins"},
    command{"settings", "check", "FILE", needs_nothing, &check, "print all mistakes in a file"},
    command{"settings", "diff", "FILE", needs_platform, &diff,
            "compare a file with the newest settings"},
    command{"settings", "apply", "FILE", changes_settings, &apply,
            "make a file the newest settings"},
    command{"settings", "history", "", needs_platform, &history, "print the newest changes"},
    command{"settings", "rollback", "VERSION", changes_settings, &rollback,
            "apply an old version again, as a new version"},
    command{"settings", "schema", "", hidden, &schema, ""},
    command{"domain", "out", "NAME", changes_settings, &domain_out,
            "stop sending new requests to a failure domain"},
    command{"domain", "in", "NAME", changes_settings, &domain_in,
            "resume sending requests to a failure domain"},
    command{"endpoint", "drain", "NAME", changes_settings, &endpoint_drain,
            "stop sending new requests to an endpoint"},
    command{"endpoint", "undrain", "NAME", changes_settings, &endpoint_undrain,
            "resume sending requests to an endpoint"},
    command{"status", "", "", needs_operator, &status,
            "print the instances and endpoints of the fleet"},
    command{"explain", "", "ADDRESS", needs_nothing, &explain,
            "print where the instance with this metrics address would send a request, and why"},
};

void print_help(std::ostream& out)
{
    out << "usage: mangovanectl COMMAND [flags]\n\n";
    for (const auto& it : commands)
    {
        if ((it.requirements & hidden) == 0)
        {
            out << "  " << it.group << (it.name.empty() ? "" : " ") << it.name
                << (it.argument.empty() ? "" : " ") << it.argument << "\n      " << it.help << '\n';
        }
    }
    out << '\n' << flags_help();
}

const command* find_command(const std::vector<std::string>& arguments)
{
    for (const auto& it : commands)
    {
        const std::size_t n = 1 + (it.name.empty() ? 0 : 1) + (it.argument.empty() ? 0 : 1);
        if (arguments.size() == n && arguments[0] == it.group &&
            (it.name.empty() || arguments[1] == it.name))
        {
            return &it;
        }
    }
    return nullptr;
}

/// A flag that the command requires and that is missing or malformed; empty if there is none.
std::string_view missing_flag(const command& cmd, const command_line& line)
{
    if ((cmd.requirements & needs_platform) != 0 && !mangovane::parse_address(line.platform))
    {
        return "--platform ip:port";
    }
    if ((cmd.requirements & needs_author) != 0 && line.author.empty())
    {
        return "--author NAME";
    }
    const bool needs_operator_address =
        (cmd.requirements & needs_operator) != 0 || line.wait_s.has_value();
    if (needs_operator_address && !mangovane::parse_address(line.operator_address))
    {
        return "--operator ip:port";
    }
    return {};
}

int usage(std::string_view error)
{
    std::cerr << "mangovanectl: " << error << "; see mangovanectl --help\n";
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    const auto line = read_command_line(argc, argv);
    if (!line.ok())
    {
        return usage({line.status().message().data(), line.status().message().size()});
    }
    if (line->help)
    {
        print_help(std::cout);
        return exit_ok;
    }
    const auto* cmd = find_command(line->arguments);
    if (cmd == nullptr)
    {
        return usage("unknown command or wrong number of arguments");
    }
    if (const auto flag = missing_flag(*cmd, *line); !flag.empty())
    {
        return usage("missing or malformed " + std::string{flag});
    }
    command_context context{*line};
    return cmd->run(context);
}
