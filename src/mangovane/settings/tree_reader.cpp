// Implementation of the tree parser: one table of key handlers for each kind of object.
#include "mangovane/settings/tree_reader.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include "mangovane/settings/setting_value.hpp"

namespace mangovane::internal
{

namespace
{

namespace json = boost::json;

std::string text_of(const json::string& text)
{
    return {text.data(), text.size()};
}

std::string key_of(const json::key_value_pair& pair)
{
    return {pair.key().data(), pair.key().size()};
}

class reader
{
public:
    explicit reader(error_list& errors) : errors_{errors} {}

    unresolved_tree read(const json::value& root);

private:
    template <class Target>
    struct handler
    {
        std::string_view key;
        void (reader::*run)(const json::value&, const setting_location&, Target&);
    };

    /// Calls the handler of each key; reports unknown keys.
    template <class Target, std::size_t N>
    void dispatch(const json::value& value,
                  const setting_location& location,
                  const std::array<handler<Target>, N>& table,
                  Target& out);

    void services(const json::value& value, const setting_location& location, unresolved_tree& out);
    void nodes(const json::value& value, const setting_location& location, unresolved_tree& out);
    void
    domains_out(const json::value& value, const setting_location& location, unresolved_tree& out);
    void endpoints_drained(const json::value& value,
                           const setting_location& location,
                           unresolved_tree& out);

    void path(const json::value& value, const setting_location& location, settings_node& out);
    void parent(const json::value& value, const setting_location& location, settings_node& out);
    void settings(const json::value& value, const setting_location& location, settings_node& out);
    void account(const json::value& value, const setting_location& location, settings_node& out);
    void
    account_name(const json::value& value, const setting_location& location, account_entry& out);
    void
    account_keys(const json::value& value, const setting_location& location, account_entry& out);

    void service(const json::key_value_pair& pair,
                 const setting_location& location,
                 unresolved_tree& out);
    void node(const json::value& value, const setting_location& location, unresolved_tree& out);
    void text(const json::value& value, const setting_location& location, std::string& out);
    void names(const json::value& value,
               const setting_location& location,
               std::vector<located<std::string>>& out);

    error_list& errors_;
};

template <class Target, std::size_t N>
void reader::dispatch(const json::value& value,
                      const setting_location& location,
                      const std::array<handler<Target>, N>& table,
                      Target& out)
{
    if (!value.is_object())
    {
        errors_.add(location, "wrong type: must be an object");
        return;
    }
    for (const auto& pair : value.get_object())
    {
        const auto key = key_of(pair);
        const auto it = std::find_if(table.begin(), table.end(),
                                     [&](const auto& row) { return row.key == key; });
        if (it == table.end())
        {
            errors_.add(location / key, absl::StrCat(key, ": unknown key"));
            continue;
        }
        (this->*(it->run))(pair.value(), location / key, out);
    }
}

unresolved_tree reader::read(const json::value& root)
{
    static constexpr std::array<handler<unresolved_tree>, 4> table{{
        {"services", &reader::services},
        {"nodes", &reader::nodes},
        {"domains_out", &reader::domains_out},
        {"endpoints_drained", &reader::endpoints_drained},
    }};
    unresolved_tree result;
    dispatch(root, setting_location{{}, "settings"}, table, result);
    return result;
}

void reader::services(const json::value& value,
                      const setting_location& location,
                      unresolved_tree& out)
{
    if (!value.is_object())
    {
        errors_.add({location.path, "services"}, "wrong type: must be an object");
        return;
    }
    for (const auto& pair : value.get_object())
    {
        const auto key = key_of(pair);
        service(pair, {location.path / key, absl::StrCat("services/", key)}, out);
    }
}

void reader::service(const json::key_value_pair& pair,
                     const setting_location& location,
                     unresolved_tree& out)
{
    service_policy policy;
    policy.name = key_of(pair);
    policy.id = service_id::of(policy.name);
    if (!pair.value().is_object())
    {
        errors_.add(location, "wrong type: must be an object");
        return;
    }
    const auto& obj = pair.value().get_object();
    for (const auto& setting : obj)
    {
        const auto key = key_of(setting);
        const auto rows = service_schema();
        const auto it =
            std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
        const auto error = it == rows.end() ? std::optional<std::string>{"unknown key"}
                                            : assign_setting(*it, setting.value(), policy);
        if (error)
        {
            errors_.add(location / key, absl::StrCat(key, ": ", *error));
        }
    }
    if (!obj.contains("kind"))
    {
        errors_.add(location, "kind: missing");
    }
    if (policy.kind == service_kind::plain && !policy.models.empty())
    {
        errors_.add(location / "models", "models: a plain service has no models");
    }
    if (const auto* models = obj.if_contains("models"); models != nullptr && string_list(*models))
    {
        names(*models, location / "models", out.models);
    }
    out.services.push_back({std::move(policy), location});
}

void reader::nodes(const json::value& value, const setting_location& location, unresolved_tree& out)
{
    if (!value.is_array())
    {
        errors_.add({location.path, "nodes"}, "wrong type: must be a list");
        return;
    }
    std::size_t n = 0;
    for (const auto& it : value.get_array())
    {
        node(it, {location.path / n, absl::StrCat("nodes[", n, "]")}, out);
        ++n;
    }
}

void reader::node(const json::value& value, const setting_location& location, unresolved_tree& out)
{
    static constexpr std::array<handler<settings_node>, 4> table{{
        {"path", &reader::path},
        {"parent", &reader::parent},
        {"settings", &reader::settings},
        {"account", &reader::account},
    }};
    auto node_location = location;
    const auto* path_value = value.is_object() ? value.get_object().if_contains("path") : nullptr;
    if (path_value != nullptr && path_value->is_string())
    {
        node_location.where = text_of(path_value->get_string());
    }
    settings_node result;
    dispatch(value, node_location, table, result);
    if (path_value == nullptr)
    {
        errors_.add(node_location, "path: missing");
    }
    out.nodes.push_back({std::move(result), std::move(node_location)});
}

void reader::path(const json::value& value, const setting_location& location, settings_node& out)
{
    text(value, location, out.path);
    if (value.is_string() && !out.path.starts_with('/'))
    {
        errors_.add(location, "path: must start with /");
    }
}

void reader::parent(const json::value& value, const setting_location& location, settings_node& out)
{
    text(value, location, out.parent);
}

void reader::settings(const json::value& value,
                      const setting_location& location,
                      settings_node& out)
{
    if (!value.is_object())
    {
        errors_.add(location, "settings: wrong type: must be an object");
        return;
    }
    const auto rows = node_schema();
    for (const auto& setting : value.get_object())
    {
        const auto key = key_of(setting);
        const auto it =
            std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
        const auto error = it == rows.end() ? std::optional<std::string>{"unknown key"}
                                            : assign_setting(*it, setting.value(), out.own);
        if (error)
        {
            errors_.add(location / key, absl::StrCat(key, ": ", *error));
            continue;
        }
        out.own_rows.push_back(static_cast<std::size_t>(it - rows.begin()));
    }
}

void reader::account(const json::value& value, const setting_location& location, settings_node& out)
{
    static constexpr std::array<handler<account_entry>, 2> table{{
        {"name", &reader::account_name},
        {"key_sha256", &reader::account_keys},
    }};
    account_entry entry;
    dispatch(value, location, table, entry);
    if (entry.name.empty())
    {
        errors_.add(location, "account: name missing");
    }
    out.account = std::move(entry);
}

void reader::account_name(const json::value& value,
                          const setting_location& location,
                          account_entry& out)
{
    text(value, location, out.name);
}

void reader::account_keys(const json::value& value,
                          const setting_location& location,
                          account_entry& out)
{
    std::vector<located<std::string>> keys;
    names(value, location, keys);
    for (auto& it : keys)
    {
        if (it.value.size() != 64 ||
            it.value.find_first_not_of("0123456789abcdef") != std::string::npos)
        {
            errors_.add(it.location, "key_sha256: must be 64 lower-case hexadecimal digits");
        }
        out.key_sha256.push_back(std::move(it.value));
    }
}

void reader::domains_out(const json::value& value,
                         const setting_location& location,
                         unresolved_tree& out)
{
    names(value, {location.path, "domains_out"}, out.domains_out);
}

void reader::endpoints_drained(const json::value& value,
                               const setting_location& location,
                               unresolved_tree& out)
{
    names(value, {location.path, "endpoints_drained"}, out.endpoints_drained);
}

void reader::text(const json::value& value, const setting_location& location, std::string& out)
{
    if (!value.is_string() || value.get_string().empty())
    {
        errors_.add(location, "wrong type: must be a non-empty string");
        return;
    }
    out = text_of(value.get_string());
}

void reader::names(const json::value& value,
                   const setting_location& location,
                   std::vector<located<std::string>>& out)
{
    auto list = string_list(value);
    if (!list)
    {
        errors_.add(location, "wrong type: must be a list of names");
        return;
    }
    for (std::size_t n = 0; n != list->size(); ++n)
    {
        out.push_back({std::move((*list)[n]), location / n});
    }
}

} // namespace

unresolved_tree read_tree(const json::value& root, error_list& errors)
{
    return reader{errors}.read(root);
}

} // namespace mangovane::internal
