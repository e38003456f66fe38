// Implementation of the store's return from an older copy.
#include "soak/store_return.hpp"

#include <random>

namespace mangovane::soak
{

namespace
{

/// Age of the copy when the store goes down.
constexpr std::uint64_t min_age_ms = 500;
constexpr std::uint64_t max_age_ms = 5000;

/// Time from the return until the last row has been written again. It leaves a margin to the two
/// seconds that operators and endpoints take at most.
constexpr std::uint64_t max_rewrite_ms = 1900;

} // namespace

void store_return::advance(time_point now)
{
    backups_.advance(fleet_.store(), now);
    std::erase_if(rows_,
                  [&](const pending_row& it)
                  {
                      if (now < it.due)
                      {
                          return false;
                      }
                      fleet_.write_again(it.key, it.written_by);
                      return true;
                  });
}

void store_return::come_back(time_point down_since, std::uint64_t random_value, time_point now)
{
    std::mt19937_64 random{random_value};
    const milliseconds age{min_age_ms + random() % (max_age_ms - min_age_ms)};
    const auto& older = backups_.taken_by(down_since - age);
    recorder_.add(operator_change{change_kind::store_returned, {}, 0, now});
    fleet_.store().come_back_from(older.contents);
    rows_.clear();
    for (auto& key : fleet_.rows_written_since(older.at))
    {
        const milliseconds delay{random() % max_rewrite_ms};
        rows_.push_back({std::move(key), now, now + delay});
    }
}

} // namespace mangovane::soak
