// Forward declarations of the settings module.
#ifndef MANGOVANE_SETTINGS_FWD_HPP
#define MANGOVANE_SETTINGS_FWD_HPP

namespace mangovane
{

struct service_policy;
struct account_policy;
struct limit_rule;
struct settings_snapshot;
class settings_registry;

} // namespace mangovane

#endif
