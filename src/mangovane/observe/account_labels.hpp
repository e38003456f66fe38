// Which client accounts have a label of their own in metrics: the busiest ones; all others share
// one label.
#ifndef MANGOVANE_OBSERVE_ACCOUNT_LABELS_HPP
#define MANGOVANE_OBSERVE_ACCOUNT_LABELS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"

namespace mangovane
{

class account_labels
{
public:
    /// At most `capacity` accounts have their own label, so that metrics stay small with many
    /// accounts.
    explicit account_labels(std::size_t capacity) : capacity_{capacity} {}

    /// Counts a request; true when the account has its own label.
    bool count(account_id account, const std::string& name);

    /// Gives the labels of quiet accounts to busier ones that have none, and starts a new period.
    /// Returns the accounts that lost their label.
    [[nodiscard]] std::vector<account_id> rotate();

    /// Name of a labelled account; empty when it has no label.
    [[nodiscard]] const std::string& name_of(account_id account) const;

    [[nodiscard]] std::size_t size() const noexcept { return labelled_.size(); }

private:
    struct usage
    {
        std::string name;
        std::uint64_t requests{0}; ///< In this period.
    };

    std::size_t capacity_;
    absl::flat_hash_map<account_id, usage> labelled_; ///< At most `capacity_`.
    absl::flat_hash_map<account_id, usage> others_;   ///< At most `capacity_`; cleared each period.
};

} // namespace mangovane

#endif
