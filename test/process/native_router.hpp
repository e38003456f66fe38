// A native router without a platform: its settings come from a file, its endpoints from flags.
#ifndef MANGOVANE_TEST_PROCESS_NATIVE_ROUTER_HPP
#define MANGOVANE_TEST_PROCESS_NATIVE_ROUTER_HPP

#include <memory>
#include <string>
#include <vector>

#include "process/child_process.hpp"

namespace mangovane::test
{

struct native_router_params
{
    std::string services;               ///< Members of the JSON object `services`.
    std::vector<std::string> endpoints; ///< As service/name/domain/ip:port.
    milliseconds drain_delay{500};

    auto operator<=>(const native_router_params&) const = default;
};

/// The account `registry` has the key `secret`.
class native_router
{
public:
    /// Starts the process; the environment holds its further options.
    explicit native_router(const native_router_params& params);
    ~native_router();
    native_router(const native_router&) = delete;
    native_router& operator=(const native_router&) = delete;

    const std::string address{free_address()}; ///< For callers.
    const std::string peer_address{free_address()};
    const std::string operator_address{free_address()};
    std::unique_ptr<child_process> process;

private:
    std::string settings_file_;
};

} // namespace mangovane::test

#endif
