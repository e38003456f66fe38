// Client of an instance's operators' interface.
#ifndef MANGOVANE_CTL_OPERATOR_CLIENT_HPP
#define MANGOVANE_CTL_OPERATOR_CLIENT_HPP

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include "mangovane/net/operator_status.hpp"

namespace mangovane::ctl
{

/// Reads the status from `ip:port`. Errors: `kInvalidArgument` for a malformed address,
/// `kPermissionDenied` for a wrong key, `kUnavailable` otherwise.
[[nodiscard]] absl::StatusOr<fleet_status> fetch_status(const std::string& address,
                                                        const std::string& key);

/// Waits until all live instances have the version; shows progress. Returns the exit code.
[[nodiscard]] int wait_for_version(const std::string& address,
                                   const std::string& key,
                                   std::uint64_t version,
                                   std::uint32_t limit_s);

/// The shared key from MANGOVANE_CLUSTER_KEY.
[[nodiscard]] std::string cluster_key();

} // namespace mangovane::ctl

#endif
