// Counts the bytes of frames between instances, by instance and by message type.
#ifndef MANGOVANE_BENCH_CONTROL_METER_HPP
#define MANGOVANE_BENCH_CONTROL_METER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "mangovane/core/time.hpp"
#include "mangovane/wire/codec.hpp"

namespace mangovane::bench
{

inline constexpr std::size_t message_type_count = std::variant_size_v<message>;

/// Number and bytes of the messages of one type, without the overhead of the frame.
struct message_type_traffic
{
    std::uint64_t messages{0};
    std::uint64_t bytes{0};

    auto operator<=>(const message_type_traffic&) const = default;
};

struct instance_traffic
{
    std::uint64_t sent{0};
    std::uint64_t received{0};

    auto operator<=>(const instance_traffic&) const = default;
};

class control_meter
{
public:
    explicit control_meter(std::size_t instances) : instances_(instances) {}

    /// Counts a frame whose encoding has `bytes` bytes.
    void on_frame(
        std::size_t from, std::size_t to, const frame& value, std::size_t bytes, time_point now);

    [[nodiscard]] const std::array<message_type_traffic, message_type_count>& types() const
    {
        return types_;
    }
    [[nodiscard]] const std::vector<instance_traffic>& instances() const { return instances_; }
    [[nodiscard]] std::uint64_t frames() const noexcept { return frames_; }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

    /// Name of a message type by its index in the variant.
    [[nodiscard]] static std::string_view type_name(std::size_t type) noexcept;

private:
    std::uint64_t frames_{0};
    std::uint64_t bytes_{0};
    std::array<message_type_traffic, message_type_count> types_{};
    std::vector<instance_traffic> instances_;
};

} // namespace mangovane::bench

#endif
