// Options of the sub-commands that only need an address.
#ifndef MANGOVANE_STANDIN_LISTEN_OPTION_HPP
#define MANGOVANE_STANDIN_LISTEN_OPTION_HPP

#include <optional>
#include <string>
#include <vector>

namespace mangovane::standin
{

struct listen_option
{
    std::string listen;           ///< `ip:port`
    std::optional<int> exit_code; ///< Set when the program has to end.

    auto operator<=>(const listen_option&) const = default;
};

[[nodiscard]] listen_option parse_listen_option(const std::string& command,
                                                const std::vector<std::string>& args);

} // namespace mangovane::standin

#endif
