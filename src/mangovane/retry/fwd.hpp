// Forward declarations of the retry module.
#ifndef MANGOVANE_RETRY_FWD_HPP
#define MANGOVANE_RETRY_FWD_HPP

namespace mangovane
{

class answer_timeout;
class retry_budget;

} // namespace mangovane

#endif
