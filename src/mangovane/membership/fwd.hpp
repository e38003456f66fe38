// Forward declarations of the membership module.
#ifndef MANGOVANE_MEMBERSHIP_FWD_HPP
#define MANGOVANE_MEMBERSHIP_FWD_HPP

namespace mangovane
{

struct member;
class membership_view;
struct endpoint_info;
class endpoint_directory;
class member_table;

} // namespace mangovane

#endif
