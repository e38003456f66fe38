// Position in the history of the platform's store.
#ifndef MANGOVANE_CORE_STORE_REVISION_HPP
#define MANGOVANE_CORE_STORE_REVISION_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace mangovane
{

/// The store counts its transactions. When it comes back from an older copy, it gives out the same
/// numbers again, in a new era. Revisions are ordered by era, then by number.
struct store_revision
{
    constexpr store_revision() = default;
    constexpr store_revision(std::uint64_t era_value, std::uint64_t number_value)
        : era{era_value}, number{number_value}
    {}
    /// Implicit: a store that states no era is in era 0. There is no conversion to a number, which
    /// would drop the era.
    constexpr store_revision(std::uint64_t number_value) : number{number_value} {}

    std::uint64_t era{0};    ///< Rises by one with each return from an older copy.
    std::uint64_t number{0}; ///< 0: none.

    /// Whether this is the revision of anything.
    [[nodiscard]] constexpr bool known() const noexcept { return number != 0; }

    auto operator<=>(const store_revision&) const = default;
};

/// Value of a log field: the number, and in a later era also the field `era`.
[[nodiscard]] inline std::string to_log_text(const store_revision& it)
{
    const auto number = std::to_string(it.number);
    return it.era == 0 ? number : number + " era=" + std::to_string(it.era);
}

} // namespace mangovane

#endif
