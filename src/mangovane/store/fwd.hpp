// Forward declarations of the store module.
#ifndef MANGOVANE_STORE_FWD_HPP
#define MANGOVANE_STORE_FWD_HPP

namespace mangovane
{

class table_service;
class object_store;
class discovery_service;
class http_platform;
class http_pool;
class rollout_table;
class rollout_writer;
class table_reader;
class table_sink;
class table_watch;

struct query_parameter;
struct rollout_listing;
struct store_row;
struct store_rows;

} // namespace mangovane

#endif
