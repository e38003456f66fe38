// Position in the history of the platform's store.
#ifndef MANGOVANE_CORE_STORE_REVISION_HPP
#define MANGOVANE_CORE_STORE_REVISION_HPP

#include <compare>
#include <cstdint>

namespace mangovane
{

/// The store counts its transactions. When it comes back from an older copy, it gives out the same
/// numbers again, in a new era. Revisions are ordered by era, then by number.
struct store_revision
{
    std::uint64_t era{0};    ///< Rises by one with each return from an older copy.
    std::uint64_t number{0}; ///< 0: none.

    /// Whether this is the revision of anything.
    [[nodiscard]] constexpr bool known() const noexcept { return number != 0; }

    auto operator<=>(const store_revision&) const = default;
};

} // namespace mangovane

#endif
