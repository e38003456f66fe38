// The commands of mangovanectl. Each returns an exit code.
#ifndef MANGOVANE_CTL_COMMANDS_HPP
#define MANGOVANE_CTL_COMMANDS_HPP

#include "ctl/command_context.hpp"

namespace mangovane::ctl
{

int show(command_context& context);
int get(command_context& context);
int effective(command_context& context);
int check(command_context& context);
int diff(command_context& context);
int apply(command_context& context);
int history(command_context& context);
int rollback(command_context& context);
int schema(command_context& context);
int domain_out(command_context& context);
int domain_in(command_context& context);
int endpoint_drain(command_context& context);
int endpoint_undrain(command_context& context);
int status(command_context& context);
int explain(command_context& context);

/// A change with author, base and id from the flags; the id is random if none is given.
[[nodiscard]] settings_change new_change(const command_context& context);

} // namespace mangovane::ctl

#endif
