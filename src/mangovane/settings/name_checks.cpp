// Checks of names: duplicates, references and hashes.
#include <utility>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "mangovane/settings/tree_checks.hpp"

namespace mangovane::internal
{

namespace
{

/// Names of one kind, by hash.
class name_table
{
public:
    explicit name_table(name_hash hash) : hash_{hash} {}

    /// Reports a different name with the same hash.
    void add(const std::string& name, const named_place& place, mistake_list& mistakes)
    {
        const auto it = names_.emplace(hash_(name), name).first;
        if (it->second != name)
        {
            mistakes.add(place, absl::StrCat("the names ", name, " and ", it->second,
                                             " have the same hash; choose another"));
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
    name_checker(const raw_tree& tree, name_hash hash, mistake_list& mistakes)
        : tree_{tree}, mistakes_{mistakes}, services_{hash}, models_{hash}, domains_{hash},
          paths_{hash}, accounts_{hash}, endpoints_{hash}
    {}

    void run()
    {
        add_declared();
        for (const auto& it : tree_.nodes)
        {
            check_node(it);
            check_account(it);
        }
    }

private:
    void add_declared()
    {
        for (const auto& it : tree_.services)
        {
            services_.add(it.value.name, it.place, mistakes_);
        }
        add_all(tree_.models, models_);
        add_all(tree_.domains_out, domains_);
        add_all(tree_.endpoints_drained, endpoints_);
    }

    void add_all(const std::vector<placed<std::string>>& names, name_table& table)
    {
        for (const auto& it : names)
        {
            table.add(it.value, it.place, mistakes_);
        }
    }

    void check_node(const placed<settings_node>& node)
    {
        const auto& values = node.value.own;
        const auto place = node.place / "settings";
        if (!seen_paths_.insert(node.value.path).second)
        {
            mistakes_.add(node.place / "path", "path: duplicate");
        }
        paths_.add(node.value.path, node.place / "path", mistakes_);
        check_known(values.services, services_, place / "services", "service");
        check_known(values.models, models_, place / "models", "model");
        for (const auto& it : values.domains)
        {
            domains_.add(it, place / "domains", mistakes_);
        }
    }

    void check_known(const std::vector<std::string>& names,
                     const name_table& known,
                     const named_place& place,
                     std::string_view what)
    {
        for (const auto& it : names)
        {
            if (!known.contains(it))
            {
                mistakes_.add(place, absl::StrCat("unknown ", std::string{what}, " ", it));
            }
        }
    }

    void check_account(const placed<settings_node>& node)
    {
        if (!node.value.account)
        {
            return;
        }
        const auto& account = *node.value.account;
        const auto place = node.place / "account";
        if (!seen_accounts_.insert(account.name).second)
        {
            mistakes_.add(place / "name", absl::StrCat("duplicate account ", account.name));
        }
        accounts_.add(account.name, place / "name", mistakes_);
        for (std::size_t n = 0; n != account.key_sha256.size(); ++n)
        {
            const auto [it, fresh] = keys_.emplace(account.key_sha256[n], account.name);
            if (!fresh)
            {
                mistakes_.add(place / "key_sha256" / n,
                              absl::StrCat("duplicate key hash, also of account ", it->second));
            }
        }
    }

    const raw_tree& tree_;
    mistake_list& mistakes_;
    name_table services_;
    name_table models_;
    name_table domains_;
    name_table paths_;
    name_table accounts_;
    name_table endpoints_;
    absl::flat_hash_set<std::string> seen_paths_;
    absl::flat_hash_set<std::string> seen_accounts_;
    absl::flat_hash_map<std::string, std::string> keys_; ///< Key hash to account.
};

} // namespace

void check_names(const raw_tree& tree, name_hash hash, mistake_list& mistakes)
{
    name_checker{tree, hash, mistakes}.run();
}

} // namespace mangovane::internal
