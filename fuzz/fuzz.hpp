// Helpers of the fuzz targets.
#ifndef MANGOVANE_FUZZ_FUZZ_HPP
#define MANGOVANE_FUZZ_FUZZ_HPP

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "mangovane/core/time.hpp"

namespace mangovane::fuzz
{

inline constexpr time_point now{seconds{1000}};

/// Aborts when a property is violated, so that libFuzzer saves the input.
inline void require(bool holds)
{
    if (!holds)
    {
        std::abort();
    }
}

inline std::string text_of(const std::uint8_t* data, std::size_t size)
{
    return size == 0 ? std::string{} : std::string{reinterpret_cast<const char*>(data), size};
}

} // namespace mangovane::fuzz

#endif
