// Implementation of the validation of a settings text.
#include "mangovane/settings/check.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include "mangovane/core/hash.hpp"
#include "mangovane/settings/tree_checks.hpp"

namespace mangovane
{

namespace
{

namespace json = boost::json;
using namespace internal;

template <class Value>
std::vector<Value> values_of(std::vector<located<Value>> entries)
{
    std::vector<Value> result;
    result.reserve(entries.size());
    for (auto& it : entries)
    {
        result.push_back(std::move(it.value));
    }
    return result;
}

settings_tree tree_of(unresolved_tree unresolved)
{
    settings_tree result;
    result.services = values_of(std::move(unresolved.services));
    result.nodes = values_of(std::move(unresolved.nodes));
    result.domains_out = values_of(std::move(unresolved.domains_out));
    result.endpoints_drained = values_of(std::move(unresolved.endpoints_drained));
    return result;
}

void check_required(const json::value& root, error_list& errors)
{
    if (!root.is_object())
    {
        return;
    }
    for (const std::string_view key : {"services", "nodes"})
    {
        if (!root.get_object().contains(json::string_view{key.data(), key.size()}))
        {
            errors.add({{}, "settings"}, absl::StrCat(std::string{key}, ": missing"));
        }
    }
}

checked_settings syntax_error(std::string_view text, std::size_t at, const std::string& reason)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(at, text.size()));
    const auto line = 1 + std::count(text.begin(), end, '\n');
    checked_settings result;
    result.errors.push_back(
        {static_cast<std::uint32_t>(line), "settings", absl::StrCat("not valid JSON: ", reason)});
    return result;
}

} // namespace

checked_settings check_settings(std::string_view text, check_scope scope)
{
    json::error_code ec;
    json::stream_parser parser;
    const auto n = parser.write_some(text.data(), text.size(), ec);
    if (!ec && n != text.size())
    {
        ec = json::error::extra_data;
    }
    if (!ec)
    {
        parser.finish(ec);
    }
    if (ec)
    {
        return syntax_error(text, n, ec.message());
    }
    const auto root = parser.release();
    error_list errors;
    check_required(root, errors);
    auto unresolved = read_tree(root, errors);
    resolve_inheritance(unresolved, errors);
    check_caps(unresolved, errors);
    check_names(unresolved, &hash_bytes, errors);
    if (scope == check_scope::without_duplicate_keys && errors.empty())
    {
        return {tree_of(std::move(unresolved)), {}};
    }
    const position_index index{text};
    for (const auto& it : index.duplicates())
    {
        errors.add({it, "settings"}, "duplicate key");
    }
    return {tree_of(std::move(unresolved)), errors.with_lines(index)};
}

} // namespace mangovane
