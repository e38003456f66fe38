// The commands of mangovanectl. Each returns the exit code.
#ifndef MANGOVANE_CTL_COMMANDS_HPP
#define MANGOVANE_CTL_COMMANDS_HPP

#include "ctl/session.hpp"

namespace mangovane::ctl
{

int show(session& run);
int get(session& run);
int effective(session& run);
int check(session& run);
int diff(session& run);
int apply(session& run);
int history(session& run);
int rollback(session& run);
int schema(session& run);
int domain_out(session& run);
int domain_in(session& run);
int endpoint_drain(session& run);
int endpoint_undrain(session& run);
int status(session& run);

/// A change with the flags of the command line; the id is random unless one is given.
[[nodiscard]] settings_change new_change(const session& run);

} // namespace mangovane::ctl

#endif
