// Forward declarations of the platform module.
#ifndef MANGOVANE_PLATFORM_FWD_HPP
#define MANGOVANE_PLATFORM_FWD_HPP

namespace mangovane
{

class table_service;
class object_store;
class instance_list;
class http_platform;
class http_pool;

} // namespace mangovane

#endif
