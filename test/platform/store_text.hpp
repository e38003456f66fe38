// Texts of rows of the platform's store, as operators and endpoints write them.
#ifndef MANGOVANE_TEST_PLATFORM_STORE_TEXT_HPP
#define MANGOVANE_TEST_PLATFORM_STORE_TEXT_HPP

#include <cstdint>
#include <string>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

/// Parameters of a configuration in which streams are served by `dictamen` and other requests by
/// `ventanilla`.
struct config_params
{
    std::uint64_t version{1};
    std::uint64_t first_added{2};      ///< From this version on, each adds a route `v<version>`.
    seconds cold_time{0};              ///< Of endpoints of `dictamen`.
    double cold_rate{0};               ///< Requests per second that a cold endpoint of it accepts.
    milliseconds stream_timeout{3000}; ///< Of `review` and `rights`.
    milliseconds call_timeout{800};    ///< Of `grant` and `status`.
    milliseconds header_timeout{1000}; ///< Until a request has been read whole.
    std::uint32_t header_bytes{4096};  ///< Largest head of a request.
    std::uint64_t body_bytes{20'000};  ///< Largest body of a request.
    /// If not 0, there are two more routes with this timeout: `ledger` for bodies and `minutes` for
    /// streams, both for requests that must run at most once.
    milliseconds long_timeout{0};
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
