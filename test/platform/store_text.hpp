// Rows of the users' store as its operators and endpoints write them.
#ifndef MANGOVANE_TEST_PLATFORM_STORE_TEXT_HPP
#define MANGOVANE_TEST_PLATFORM_STORE_TEXT_HPP

#include <cstdint>
#include <string>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

/// Streams go to `dictamen`, plain requests to `ventanilla`.
struct config_params
{
    std::uint64_t version{1};
    std::uint64_t first_added{2}; ///< Versions from here on have added a route `v<version>` each.
    seconds cold_time{0};         ///< Of `dictamen`.
    double cold_rate{0};          ///< Requests a second that one of its endpoints bears while cold.
};

[[nodiscard]] std::string configuration_text(const config_params& params);

struct entry_params
{
    std::string service;
    std::string address; ///< `ip:port`
    std::string domain;
    std::string state{"ready"};
    milliseconds cold_left{0};
};

[[nodiscard]] std::string entry_text(const entry_params& params);

} // namespace mangovane::test

#endif
