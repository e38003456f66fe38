// The operators' command-line tool: a table of commands.
#include <array>
#include <cstdint>
#include <iostream>
#include <string_view>

#include "ctl/commands.hpp"
#include "mangovane/net/address.hpp"

namespace
{

using namespace mangovane::ctl;

/// What a command cannot do without; a set of bits.
enum requirement : std::uint8_t
{
    needs_nothing = 0,
    needs_platform = 1,
    needs_author = 2,
    needs_operator = 4,
    hidden = 8, ///< Not in the help text.
};

constexpr std::uint8_t changes = needs_platform | needs_author;

struct command
{
    std::string_view group;
    std::string_view name;     ///< Empty: the group is the command.
    std::string_view argument; ///< Empty: it takes none.
    std::uint8_t requirements;
    int (*run)(command_context&);
    std::string_view help;
};

constexpr std::array commands{
    command{"settings", "show", "", needs_platform, &show, "print the newest settings"},
    command{"settings", "get", "PATH", needs_platform, &get, "what a node sets itself"},
    command{"settings", "effective", "PATH", needs_platform, &effective,
            "what is in force at a node, and where it comes from"},
    command{"settings", "check", "FILE", needs_nothing, &check, "report all mistakes in a file"},
    command{"settings", "diff", "FILE", needs_platform, &diff, "compare with the newest settings"},
    command{"settings", "apply", "FILE", changes, &apply, "make a file the newest settings"},
    command{"settings", "history", "", needs_platform, &history, "the newest changes"},
    command{"settings", "rollback", "VERSION", changes, &rollback,
            "apply the text of an old version"},
    command{"settings", "schema", "", hidden, &schema, ""},
    command{"domain", "out", "NAME", changes, &domain_out, "give a failure domain no new work"},
    command{"domain", "in", "NAME", changes, &domain_in, "let a failure domain return"},
    command{"endpoint", "drain", "NAME", changes, &endpoint_drain, "give an endpoint no new work"},
    command{"endpoint", "undrain", "NAME", changes, &endpoint_undrain, "let an endpoint return"},
    command{"status", "", "", needs_operator, &status, "instances and endpoints"},
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
    out << '\n' << flags_text();
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

/// The flag that is missing or malformed for a command; empty when there is none.
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
    const bool asks = (cmd.requirements & needs_operator) != 0 || line.wait_s.has_value();
    if (asks && !mangovane::parse_address(line.operator_address))
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
        return usage("missing " + std::string{flag});
    }
    command_context run{*line};
    return cmd->run(run);
}
