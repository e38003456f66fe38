// CPU time of the choice of an endpoint at an instance that forwards by routes.
#ifndef MANGOVANE_BENCH_FORWARD_CHOICE_HPP
#define MANGOVANE_BENCH_FORWARD_CHOICE_HPP

#include <vector>

#include "bench/measurement.hpp"

namespace mangovane::bench
{

/// Appends the time of a choice on routes with 160 and 943 endpoints, for each placement mode, with
/// and without a prompt prefix.
void measure_forward_choice(std::vector<measurement>& measurements);

} // namespace mangovane::bench

#endif
