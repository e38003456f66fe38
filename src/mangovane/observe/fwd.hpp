// Forward declarations of the observe module.
#ifndef MANGOVANE_OBSERVE_FWD_HPP
#define MANGOVANE_OBSERVE_FWD_HPP

namespace mangovane
{

class latency_histogram;
class account_labels;
class request_metrics;

} // namespace mangovane

#endif
