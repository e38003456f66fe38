// Assigns metric labels to approximately the busiest client accounts; all others share one label.
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
    /// At most `capacity` accounts have their own label, which bounds the size of the metrics.
    explicit account_labels(std::size_t capacity) : capacity_{capacity} {}

    /// Counts a request, assigning a free label if there is one; true when the account has its own
    /// label.
    bool count(account_id account, const std::string& name);

    /// Moves labels from quiet accounts to busier ones without a label, and starts a new period.
    /// Returns the accounts that lost their label.
    [[nodiscard]] std::vector<account_id> rotate();

    /// Name of a labelled account; empty when it has no label.
    [[nodiscard]] const std::string& name_of(account_id account) const;

    /// Number of labelled accounts.
    [[nodiscard]] std::size_t size() const noexcept { return labelled_.size(); }

private:
    struct usage
    {
        std::string name;
        std::uint64_t requests{0}; ///< Requests in the current period.
    };

    std::size_t capacity_;
    absl::flat_hash_map<account_id, usage> labelled_; ///< At most `capacity_`.
    /// At most `capacity_`; cleared each period.
    absl::flat_hash_map<account_id, usage> unlabelled_;
};

} // namespace mangovane

#endif
