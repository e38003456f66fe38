// Implementation of the checks of names: duplicates, references and hash collisions.
#include <utility>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "mangovane/settings/tree_checks.hpp"

namespace mangovane::internal
{

namespace
{

/// Names of one kind, keyed by hash.
class name_table
{
public:
    explicit name_table(name_hash hash) : hash_{hash} {}

    /// Adds a name; reports one that collides with the hash of a different name.
    void add(const std::string& name, const setting_location& location, error_list& errors)
    {
        const auto it = names_.emplace(hash_(name), name).first;
        if (it->second != name)
        {
            errors.add(location, absl::StrCat("the names ", name, " and ", it->second,
                                              " have the same hash; rename one of them"));
        }
    }

    [[nodiscard]] bool contains(const std::string& name) const
    {
        const auto it = names_.find(hash_(name));
        return it != names_.end() && it->second == name;
    }

private:
    name_hash hash_;
    absl::flat_hash_map<std::uint64_t, std::string> names_;
};

class name_checker
{
public:
    name_checker(const unresolved_tree& tree, name_hash hash, error_list& errors)
        : tree_{tree}, errors_{errors}, services_{hash}, models_{hash}, domains_{hash},
          paths_{hash}, accounts_{hash}, endpoints_{hash}
    {}

    void run()
    {
        add_declared_names();
        for (const auto& it : tree_.nodes)
        {
            check_node(it);
            check_account(it);
        }
    }

private:
    void add_declared_names()
    {
        for (const auto& it : tree_.services)
        {
            services_.add(it.value.name, it.location, errors_);
        }
        add_all(tree_.models, models_);
        add_all(tree_.domains_out, domains_);
        add_all(tree_.endpoints_drained, endpoints_);
    }

    void add_all(const std::vector<located<std::string>>& names, name_table& table)
    {
        for (const auto& it : names)
        {
            table.add(it.value, it.location, errors_);
        }
    }

    void check_node(const located<settings_node>& node)
    {
        const auto& values = node.value.own;
        const auto location = node.location / "settings";
        if (!seen_paths_.insert(node.value.path).second)
        {
            errors_.add(node.location / "path", "path: duplicate");
        }
        paths_.add(node.value.path, node.location / "path", errors_);
        check_known(values.services, services_, location / "services", "service");
        check_known(values.models, models_, location / "models", "model");
        for (const auto& it : values.domains)
        {
            domains_.add(it, location / "domains", errors_);
        }
    }

    void check_known(const std::vector<std::string>& names,
                     const name_table& known,
                     const setting_location& location,
                     std::string_view what)
    {
        for (const auto& it : names)
        {
            if (!known.contains(it))
            {
                errors_.add(location, absl::StrCat("unknown ", std::string{what}, " ", it));
            }
        }
    }

    void check_account(const located<settings_node>& node)
    {
        if (!node.value.account)
        {
            return;
        }
        const auto& account = *node.value.account;
        const auto location = node.location / "account";
        if (!seen_accounts_.insert(account.name).second)
        {
            errors_.add(location / "name", absl::StrCat("duplicate account ", account.name));
        }
        accounts_.add(account.name, location / "name", errors_);
        for (std::size_t n = 0; n != account.key_sha256.size(); ++n)
        {
            const auto [it, inserted] = keys_.emplace(account.key_sha256[n], account.name);
            if (!inserted)
            {
                errors_.add(location / "key_sha256" / n,
                            absl::StrCat("duplicate key hash, also of account ", it->second));
            }
        }
    }

    const unresolved_tree& tree_;
    error_list& errors_;
    name_table services_;
    name_table models_;
    name_table domains_;
    name_table paths_;
    name_table accounts_;
    name_table endpoints_;
    absl::flat_hash_set<std::string> seen_paths_;
    absl::flat_hash_set<std::string> seen_accounts_;
    absl::flat_hash_map<std::string, std::string> keys_; ///< Account name by key hash.
};

} // namespace

void check_names(const unresolved_tree& tree, name_hash hash, error_list& errors)
{
    name_checker{tree, hash, errors}.run();
}

} // namespace mangovane::internal
