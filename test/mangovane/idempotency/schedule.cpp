// Randomised schedules with fixed seeds. Lost, failed, slow and reordered writes must neither let a
// call run twice nor leave a key claimed whose call never ran. Also checks that batching bounds the
// transaction rate at the table.
#include <random>

#include <doctest/doctest.h>

#include "mangovane/idempotency/claim_fixture.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr std::size_t keys = 6;
constexpr std::size_t instances = 3;

/// Callers claim the same keys at several instances; each acquired claim is completed, abandoned,
/// or dispatched and never settled.
class schedule
{
public:
    explicit schedule(std::uint64_t seed) : random_{seed}, fixture_{instances}
    {
        fixture_.table.next_write_outcome = [this] { return draw_outcome(); };
        fixture_.table.next_read_outcome = [this] { return draw_outcome(); };
    }

    void run()
    {
        for (int n = 0; n != 120; ++n)
        {
            start_claim();
            fixture_.run(milliseconds{draw(20)});
        }
        faults_ = false;
        fixture_.run(claim_writer::abandon_retry_time + seconds{2});
    }

    /// Number of runs of each key's call.
    std::vector<int> runs = std::vector<int>(keys);
    std::vector<bool> call_ran =
        std::vector<bool>(keys); ///< The call ran, so the claim is never free again.
    std::size_t lost_calls{0};
    claim_fixture& fixture() { return fixture_; }

private:
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    call_outcome draw_outcome()
    {
        call_outcome chosen;
        chosen.apply_after = milliseconds{draw(30)};
        chosen.answer_after = chosen.apply_after + milliseconds{draw(30)};
        const auto kind = faults_ ? draw(5) : 4;
        chosen.answer_lost = kind < 3;
        lost_calls += chosen.answer_lost ? 1U : 0U;
        if (kind == 0)
        {
            chosen.apply_after = milliseconds{-1};
        }
        if (kind == 1)
        {
            chosen.apply_after = milliseconds{draw(500)}; // Possibly long after the answer.
        }
        return chosen;
    }

    void start_claim()
    {
        const auto key = draw(keys);
        const auto instance = draw(instances);
        const auto wanted = fixture_.make(std::to_string(key));
        fixture_.writers[instance]->claim_key(
            wanted, fixture_.table.now(), fixture_.table.now() + milliseconds{20 + draw(200)},
            [this, key, instance, wanted](const absl::StatusOr<claim_result>& result)
            {
                if (result.ok() && result->acquired)
                {
                    on_acquired(key, instance, wanted);
                }
            });
    }

    void on_acquired(std::size_t key, std::size_t instance, const claim& held)
    {
        const auto pause = milliseconds{draw(100)};
        const auto end = draw(8);
        if (end >= 2)
        {
            settle_later(instance, held, claim_state::abandoned, pause);
            return;
        }
        fixture_.table.at(pause / 2, [this, key] { ++runs[key]; });
        call_ran[key] = true;
        if (end == 0)
        {
            settle_later(instance, held, claim_state::completed, pause);
        }
    }

    void settle_later(std::size_t instance, claim held, claim_state state, milliseconds pause)
    {
        held.state = state;
        fixture_.table.at(pause,
                          [this, instance, held]
                          {
                              const auto now = fixture_.table.now();
                              fixture_.writers[instance]->settle(held, now, now + seconds{30},
                                                                 [](const absl::Status&) {});
                          });
    }

    std::mt19937_64 random_;
    claim_fixture fixture_;
    bool faults_{true};
};

} // namespace

TEST_CASE("claims with lost, failed, slow and late writes")
{
    std::size_t ran = 0;
    std::size_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed)
    {
        CAPTURE(seed);
        schedule random{seed};
        random.run();
        lost += random.lost_calls;
        for (std::size_t key = 0; key != keys; ++key)
        {
            CAPTURE(key);
            CHECK(random.runs[key] <= 1); // A second run means that the claim was granted twice.
            ran += static_cast<std::size_t>(random.runs[key]);
            if (!random.call_ran[key])
            {
                // A key whose call never ran must not stay in_progress.
                CHECK(acquired(
                    random.fixture().claim_at(0, random.fixture().make(std::to_string(key)))));
            }
        }
    }
    MESSAGE(ran, " calls ran, ", lost, " calls of the table were lost");
    CHECK(ran > 0);
    CHECK(lost > 0);
}

TEST_CASE("batching limits an instance to one transaction per window")
{
    for (const std::size_t rate : {200, 2000})
    {
        CAPTURE(rate);
        claim_fixture one{1};
        std::mt19937_64 random{7};
        std::size_t acquired_count = 0;
        for (std::size_t n = 0; n != rate * 2; ++n)
        {
            one.table.at(milliseconds{random() % 2000},
                         [&one, &acquired_count, n]
                         {
                             one.writers[0]->claim_key(one.make(std::to_string(n)), one.table.now(),
                                                       one.table.now() + seconds{1},
                                                       [&acquired_count](const auto& result) {
                                                           acquired_count +=
                                                               result->acquired ? 1U : 0U;
                                                       });
                         });
        }
        one.run(milliseconds{2100});
        const auto transactions = one.table.transaction_sizes.size();
        CHECK(acquired_count == rate * 2);
        CHECK(transactions <= 2 * 1000 / 5);
        MESSAGE(rate, " claims/s: ", transactions, " transactions in 2 s, ",
                static_cast<double>(acquired_count) / static_cast<double>(transactions),
                " claims per transaction");
    }
}
