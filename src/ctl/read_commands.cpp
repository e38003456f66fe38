// Commands that do not change the settings.
#include <iostream>

#include "ctl/commands.hpp"
#include "ctl/operator_client.hpp"
#include "ctl/output.hpp"
#include "mangovane/settings/check.hpp"
#include "mangovane/settings/edit.hpp"
#include "mangovane/settings/schema.hpp"

namespace mangovane::ctl
{

namespace
{

namespace json = boost::json;

int unknown_node(const std::string& path)
{
    std::cerr << "mangovanectl: no node " << path << '\n';
    return exit_failed;
}

/// Prints the effective settings of a node; with `own_only` only those that the node sets itself.
int print_node(command_context& context, bool own_only)
{
    const auto& path = context.args().arguments[2];
    const auto current = context.current();
    if (!current.ok())
    {
        return report_error(current.status());
    }
    const auto tree = check_settings(current->text).tree;
    if (tree.find(path) == nullptr)
    {
        return unknown_node(path);
    }
    result_table table{{"key", "value", "origin"}, {}};
    for (const auto& it : effective_settings(tree, path))
    {
        if (!own_only || it.origin == path)
        {
            table.rows.emplace_back(boost::json::array{it.key, it.value, it.origin});
        }
    }
    print(table, context.args().json);
    return exit_ok;
}

json::object head_to_json(const settings_record& head)
{
    return json::parse(to_json(head)).as_object();
}

result_table mistake_table(const std::vector<settings_error>& errors)
{
    result_table result{{"line", "where", "mistake"}, {}};
    for (const auto& it : errors)
    {
        result.rows.emplace_back(boost::json::array{it.line, it.where, it.text});
    }
    return result;
}

result_table instance_table(const fleet_status& status)
{
    result_table result{{"instance", "domain", "state", "settings_version"}, {}};
    for (const auto& it : status.instances)
    {
        result.rows.emplace_back(
            boost::json::array{it.name, it.domain, it.state, it.settings_version});
    }
    return result;
}

result_table endpoint_table(const fleet_status& status)
{
    result_table result{
        {"endpoint", "service", "domain", "state", "load", "allowed", "ramp", "owner"}, {}};
    for (const auto& it : status.endpoints)
    {
        result.rows.push_back(
            {it.name, it.service, it.domain, it.state, it.load, it.allowed, it.ramp, it.owner});
    }
    return result;
}

} // namespace

int show(command_context& context)
{
    const auto current = context.current();
    if (!current.ok())
    {
        return report_error(current.status());
    }
    if (current->head.version == 0)
    {
        std::cerr << "mangovanectl: no settings have been applied\n";
        return exit_failed;
    }
    if (context.args().json)
    {
        auto result = head_to_json(current->head);
        result["text"] = current->text;
        std::cout << result << '\n';
        return exit_ok;
    }
    std::cerr << "version " << current->head.version << " by " << current->head.author << '\n';
    std::cout << current->text;
    return exit_ok;
}

int get(command_context& context)
{
    return print_node(context, true);
}

int effective(command_context& context)
{
    return print_node(context, false);
}

int check(command_context& context)
{
    const auto text = read_file(context.args().arguments[2]);
    if (!text.ok())
    {
        return report_error(text.status());
    }
    const auto checked = check_settings(*text);
    if (context.args().json || !checked.valid())
    {
        print(mistake_table(checked.errors), context.args().json);
    }
    return checked.valid() ? exit_ok : exit_invalid;
}

int diff(command_context& context)
{
    const auto text = read_file(context.args().arguments[2]);
    if (!text.ok())
    {
        return report_error(text.status());
    }
    const auto current = context.current();
    if (!current.ok())
    {
        return report_error(current.status());
    }
    const auto lines = line_diff(current->text, *text);
    if (context.args().json)
    {
        json::object result;
        result["version"] = current->head.version;
        result["diff"] = lines;
        std::cout << result << '\n';
        return exit_ok;
    }
    std::cout << lines;
    return exit_ok;
}

int history(command_context& context)
{
    const auto changes = context.history();
    if (!changes.ok())
    {
        return report_error(changes.status());
    }
    result_table table{{"version", "author", "change_id", "object"}, {}};
    for (const auto& it : *changes)
    {
        table.rows.emplace_back(boost::json::array{it.version, it.author, it.change_id, it.object});
    }
    print(table, context.args().json);
    return exit_ok;
}

int schema(command_context& context)
{
    if (!context.args().markdown)
    {
        std::cerr << "mangovanectl: settings schema requires --markdown\n";
        return exit_usage;
    }
    std::cout << schema_markdown();
    return exit_ok;
}

int status(command_context& context)
{
    const auto fleet = fetch_status(context.args().operator_address, cluster_key());
    if (!fleet.ok())
    {
        return report_error(fleet.status());
    }
    const auto instances = instance_table(*fleet);
    const auto endpoints = endpoint_table(*fleet);
    if (context.args().json)
    {
        json::object result;
        result["instances"] = to_json(instances);
        result["endpoints"] = to_json(endpoints);
        std::cout << result << '\n';
        return exit_ok;
    }
    std::cout << to_text(instances) << '\n' << to_text(endpoints);
    return exit_ok;
}

} // namespace mangovane::ctl
