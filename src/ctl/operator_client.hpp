// Client of the operator API of an instance.
#ifndef MANGOVANE_CTL_OPERATOR_CLIENT_HPP
#define MANGOVANE_CTL_OPERATOR_CLIENT_HPP

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include "mangovane/net/operator_status.hpp"

namespace mangovane::ctl
{

/// Reads the fleet status from the instance at `ip:port`. Errors: `kInvalidArgument` for a
/// malformed address, `kPermissionDenied` for a wrong key, `kUnavailable` otherwise.
[[nodiscard]] absl::StatusOr<fleet_status> fetch_status(const std::string& address,
                                                        const std::string& key);

/// Waits at most `limit_s` seconds until all live instances have the version, and prints progress
/// to standard error. Returns an exit code.
[[nodiscard]] int wait_for_version(const std::string& address,
                                   const std::string& key,
                                   std::uint64_t version,
                                   std::uint32_t limit_s);

/// The cluster key from MANGOVANE_CLUSTER_KEY; empty if unset.
[[nodiscard]] std::string cluster_key();

} // namespace mangovane::ctl

#endif
