// Flags of mangovanectl.
#include "ctl/command_line.hpp"

#include <cstdlib>
#include <sstream>

#include <absl/strings/str_cat.h>
#include <boost/program_options.hpp>

namespace mangovane::ctl
{

namespace po = boost::program_options;

namespace
{

std::string environment_variable(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? std::string{} : std::string{value};
}

po::options_description flag_descriptions(command_line& out)
{
    po::options_description result{"flags"};
    auto add = result.add_options();
    add("help", po::bool_switch(&out.help), "print this text");
    add("platform",
        po::value(&out.platform)->default_value(environment_variable("MANGOVANE_PLATFORM"), ""),
        "ip:port of the platform (MANGOVANE_PLATFORM)");
    add("operator",
        po::value(&out.operator_address)
            ->default_value(environment_variable("MANGOVANE_OPERATOR"), ""),
        "ip:port of the operator API of an instance (MANGOVANE_OPERATOR); its key is read from "
        "MANGOVANE_CLUSTER_KEY");
    add("output", po::value<std::string>()->default_value("table"), "table or json");
    add("author", po::value(&out.author)->default_value(environment_variable("USER"), ""),
        "author of the change (USER)");
    add("change-id", po::value(&out.change_id),
        "id of the change; a retry with the same id is applied once");
    add("base", po::value<std::uint64_t>(),
        "version that the change is based on; any other current version is a conflict");
    add("wait", po::value<std::uint32_t>(),
        "seconds to wait until the change is in force on every instance");
    add("count", po::value(&out.max_changes)->default_value(20),
        "maximum number of changes shown by history");
    add("host", po::value(&out.explained["host"]), "host of the request to explain");
    add("path", po::value(&out.explained["path"]), "its path");
    add("account", po::value(&out.explained["account"]), "name of its account");
    add("urgency", po::value(&out.explained["urgency"]), "its urgency, 0 to 9");
    add("prompt", po::value(&out.explained["prompt"]), "parts of its prompt: ID:TOKENS,...");
    add("tokens", po::value(&out.explained["tokens"]), "its tokens: IN,OUT");
    add("request", po::value(&out.explained["request"]),
        "its id, which selects one of the services of a route");
    add("markdown", po::bool_switch(&out.markdown), "print the schema as Markdown");
    return result;
}

template <class Value>
std::optional<Value> optional_of(const po::variables_map& values, const char* name)
{
    return values.count(name) == 0 ? std::nullopt : std::optional{values[name].as<Value>()};
}

absl::Status check_flags(const po::variables_map& values, const command_line& line)
{
    const auto& output = values["output"].as<std::string>();
    if (output != "table" && output != "json")
    {
        return absl::InvalidArgumentError("--output must be table or json");
    }
    constexpr const char* allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (line.change_id.size() > 64 ||
        line.change_id.find_first_not_of(allowed) != std::string::npos)
    {
        return absl::InvalidArgumentError(
            "--change-id must be at most 64 letters, digits, '-', '_' or '.'");
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<command_line> read_command_line(int argc, char** argv)
{
    command_line result;
    auto known = flag_descriptions(result);
    po::options_description all;
    all.add(known);
    all.add_options()("words", po::value(&result.arguments), "");
    po::positional_options_description positions;
    positions.add("words", -1);
    po::variables_map values;
    try
    {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(),
                  values);
        po::notify(values);
    }
    catch (const po::error& ex)
    {
        return absl::InvalidArgumentError(ex.what());
    }
    if (auto status = check_flags(values, result); !status.ok())
    {
        return status;
    }
    result.json = values["output"].as<std::string>() == "json";
    result.base = optional_of<std::uint64_t>(values, "base");
    result.wait_s = optional_of<std::uint32_t>(values, "wait");
    return result;
}

std::string flags_help()
{
    command_line unused;
    std::ostringstream out;
    out << flag_descriptions(unused);
    return out.str();
}

} // namespace mangovane::ctl
