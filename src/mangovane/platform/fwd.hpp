// Forward declarations of the platform module.
#ifndef MANGOVANE_PLATFORM_FWD_HPP
#define MANGOVANE_PLATFORM_FWD_HPP

namespace mangovane
{

class table_service;
class object_store;
class instance_list;

} // namespace mangovane

#endif
