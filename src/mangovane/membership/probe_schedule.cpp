// Implementation of the probe order.
#include "mangovane/membership/probe_schedule.hpp"

#include <algorithm>
#include <utility>

namespace mangovane::internal
{

void random_sequence::sample(std::vector<instance_id>& ids, std::size_t count)
{
    const auto n = std::min(count, ids.size());
    for (std::size_t k = 0; k != n; ++k)
    {
        std::swap(ids[k], ids[k + below(ids.size() - k)]);
    }
    ids.resize(n);
}

void probe_schedule::refill(std::vector<instance_id> ids, random_sequence& random)
{
    random.sample(ids, ids.size());
    round_ = std::move(ids);
}

} // namespace mangovane::internal
