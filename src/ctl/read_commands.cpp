// Commands that change nothing.
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

/// The effective values of a node; with `own_only`, those that the node sets itself.
int print_node(session& run, bool own_only)
{
    const auto& path = run.line().words[2];
    const auto current = run.current();
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
    print(table, run.line().json);
    return exit_ok;
}

json::object head_json(const settings_record& head)
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

int show(session& run)
{
    const auto current = run.current();
    if (!current.ok())
    {
        return report_error(current.status());
    }
    if (current->head.version == 0)
    {
        std::cerr << "mangovanectl: no settings have been applied\n";
        return exit_failed;
    }
    if (run.line().json)
    {
        auto result = head_json(current->head);
        result["text"] = current->text;
        std::cout << result << '\n';
        return exit_ok;
    }
    std::cerr << "version " << current->head.version << " by " << current->head.author << '\n';
    std::cout << current->text;
    return exit_ok;
}

int get(session& run)
{
    return print_node(run, true);
}

int effective(session& run)
{
    return print_node(run, false);
}

int check(session& run)
{
    const auto text = read_file(run.line().words[2]);
    if (!text.ok())
    {
        return report_error(text.status());
    }
    const auto checked = check_settings(*text);
    if (run.line().json || !checked.valid())
    {
        print(mistake_table(checked.errors), run.line().json);
    }
    return checked.valid() ? exit_ok : exit_invalid;
}

int diff(session& run)
{
    const auto text = read_file(run.line().words[2]);
    if (!text.ok())
    {
        return report_error(text.status());
    }
    const auto current = run.current();
    if (!current.ok())
    {
        return report_error(current.status());
    }
    const auto lines = line_diff(current->text, *text);
    if (run.line().json)
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

int history(session& run)
{
    const auto changes = run.history();
    if (!changes.ok())
    {
        return report_error(changes.status());
    }
    result_table table{{"version", "author", "change_id", "object"}, {}};
    for (const auto& it : *changes)
    {
        table.rows.emplace_back(boost::json::array{it.version, it.author, it.change_id, it.object});
    }
    print(table, run.line().json);
    return exit_ok;
}

int schema(session& run)
{
    if (!run.line().markdown)
    {
        std::cerr << "mangovanectl: settings schema needs --markdown\n";
        return exit_usage;
    }
    std::cout << schema_markdown();
    return exit_ok;
}

int status(session& run)
{
    const auto found = fetch_status(run.line().operator_address, cluster_key());
    if (!found.ok())
    {
        return report_error(found.status());
    }
    const auto instances = instance_table(*found);
    const auto endpoints = endpoint_table(*found);
    if (run.line().json)
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
