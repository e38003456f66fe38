// Positions of the values in a JSON text; Boost.JSON does not report them.
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

/// Byte range and first line of a value in a text.
struct text_span
{
    std::size_t begin{0};
    std::size_t end{0}; ///< One past the last byte.
    std::uint32_t line{1};

    auto operator<=>(const text_span&) const = default;
};

/// Path of a value inside a JSON text: object keys and array indices.
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
    std::string text_; ///< Each element follows a separator that must be escaped in JSON keys.
};

/// Maps JSON paths to text positions.
class position_index
{
public:
    /// The text must be valid JSON.
    explicit position_index(std::string_view text);

    /// Position of a value; null when there is none.
    [[nodiscard]] const text_span* find(const json_path& path) const;

    /// Line of a value, or of the innermost value on its path that exists; 1 when there is none.
    [[nodiscard]] std::uint32_t line_of(json_path path) const;

    /// Keys that occur more than once in an object. Boost.JSON silently keeps the last one.
    [[nodiscard]] const std::vector<json_path>& duplicates() const noexcept { return duplicates_; }

private:
    void scan_value(const json_path& path);
    void scan_object(const json_path& path);
    void scan_array(const json_path& path);
    void skip_space();
    void skip_scalar();
    [[nodiscard]] std::string_view scan_string();
    [[nodiscard]] char peek() const noexcept { return at_ < text_.size() ? text_[at_] : '\0'; }

    std::string_view text_; ///< Used during construction only.
    std::size_t at_{0};
    std::uint32_t line_{1};
    absl::flat_hash_map<std::string, text_span> spans_;
    std::vector<json_path> duplicates_;
};

} // namespace mangovane

#endif
