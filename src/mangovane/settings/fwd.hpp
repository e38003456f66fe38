// Forward declarations of the settings module.
#ifndef MANGOVANE_SETTINGS_FWD_HPP
#define MANGOVANE_SETTINGS_FWD_HPP

namespace mangovane
{

struct service_policy;
struct account_policy;
struct limit_rule;
struct settings_snapshot;
struct settings_tree;
struct settings_error;
struct settings_record;
struct settings_change;
class settings_registry;
class settings_store;
class settings_watcher;

} // namespace mangovane

#endif
