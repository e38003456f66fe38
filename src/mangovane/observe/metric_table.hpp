// The metric families of an instance, with types and help texts.
#ifndef MANGOVANE_OBSERVE_METRIC_TABLE_HPP
#define MANGOVANE_OBSERVE_METRIC_TABLE_HPP

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace mangovane
{

enum class metric_type : std::uint8_t
{
    counter,
    gauge,
    histogram,
};

struct metric_family
{
    std::string_view name;
    metric_type type{metric_type::gauge};
    std::string_view help;

    auto operator<=>(const metric_family&) const = default;
};

/// All families, in the order in which they are written.
[[nodiscard]] std::span<const metric_family> metric_families() noexcept;

/// Family of a sample line, null when there is none. Samples of a histogram have a suffix to the
/// family name.
[[nodiscard]] const metric_family* find_metric(std::string_view line) noexcept;

/// Adds `# HELP` and `# TYPE` lines and groups the lines of each family, as the exposition format
/// requires. Lines without a family are omitted.
[[nodiscard]] std::string describe_metrics(std::string_view samples);

} // namespace mangovane

#endif
