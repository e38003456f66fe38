// Implementation of the retry budget.
#include "mangovane/retry/retry_budget.hpp"

#include <algorithm>

namespace mangovane
{

void retry_budget::on_request(double ratio) noexcept
{
    balance_ = std::min(balance_ + ratio, max_balance);
}

bool retry_budget::try_retry() noexcept
{
    if (balance_ < 1.0)
    {
        return false;
    }
    balance_ -= 1.0;
    return true;
}

} // namespace mangovane
