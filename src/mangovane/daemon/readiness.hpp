// What an instance still needs before it can serve, for the readiness probe and the log.
#ifndef MANGOVANE_DAEMON_READINESS_HPP
#define MANGOVANE_DAEMON_READINESS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace mangovane
{

/// How the platform's store has responded to this instance.
struct store_contact
{
    bool answered{false};       ///< It has responded at least once.
    std::uint32_t failures{0};  ///< Calls that failed since its last response.
    std::string last_failure{}; ///< Reason of the last failed call; empty: none has failed.

    auto operator<=>(const store_contact&) const = default;
};

struct readiness
{
    bool has_settings{false};
    bool has_endpoints{false}; ///< A list of endpoints was received; it may be empty.
    std::size_t members{0};    ///< Instances known, with this one.
    store_contact store{};

    [[nodiscard]] bool complete() const noexcept { return has_settings && has_endpoints; }

    /// What is missing, and why it may be, as fields of a log line.
    [[nodiscard]] std::string missing_text() const;

    auto operator<=>(const readiness&) const = default;
};

} // namespace mangovane

#endif
