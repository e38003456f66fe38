// Where the values of a JSON text stand. Boost.JSON reports no positions for values.
#ifndef MANGOVANE_SETTINGS_POSITION_INDEX_HPP
#define MANGOVANE_SETTINGS_POSITION_INDEX_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace mangovane
{

/// Place of a value in a text.
struct text_span
{
    std::size_t begin{0};
    std::size_t end{0}; ///< One past the last byte.
    std::uint32_t line{1};

    auto operator<=>(const text_span&) const = default;
};

/// Path of a value inside a JSON text: object keys and array indexes.
class json_path
{
public:
    json_path() = default;

    [[nodiscard]] json_path operator/(std::string_view key) const;
    [[nodiscard]] json_path operator/(std::size_t index) const;
    [[nodiscard]] json_path parent() const;
    [[nodiscard]] const std::string& text() const noexcept { return text_; }

    auto operator<=>(const json_path&) const = default;

private:
    std::string text_; ///< Elements, each after a separator that no JSON key holds unescaped.
};

class position_index
{
public:
    /// The text must be valid JSON.
    explicit position_index(std::string_view text);

    /// Place of a value; null when there is none.
    [[nodiscard]] const text_span* find(const json_path& path) const;

    /// Line of a value, or of the nearest value around it.
    [[nodiscard]] std::uint32_t line_of(json_path path) const;

    /// Keys that stand twice in one object. Boost.JSON silently keeps the last.
    [[nodiscard]] const std::vector<json_path>& duplicates() const noexcept { return duplicates_; }

private:
    void scan_value(const json_path& path);
    void scan_object(const json_path& path);
    void scan_array(const json_path& path);
    void skip_space();
    void skip_scalar();
    [[nodiscard]] std::string_view scan_string();
    [[nodiscard]] char peek() const noexcept { return at_ < text_.size() ? text_[at_] : '\0'; }

    std::string_view text_; ///< Read during construction only.
    std::size_t at_{0};
    std::uint32_t line_{1};
    absl::flat_hash_map<std::string, text_span> spans_;
    std::vector<json_path> duplicates_;
};

} // namespace mangovane

#endif
