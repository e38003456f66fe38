// Forward declarations of the core module.
#ifndef MANGOVANE_CORE_FWD_HPP
#define MANGOVANE_CORE_FWD_HPP

#include <cstdint>

namespace mangovane
{

template <class Tag>
class name_id;

struct attempt_id;
struct error_descriptor;
struct prompt_part;
enum class error_kind : std::uint8_t;

template <class Key, class Value, std::size_t Shards>
class sharded_map;

} // namespace mangovane

#endif
