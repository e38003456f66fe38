// Randomised schedules with fixed seeds: no call runs twice; and the load on the table.
#include <random>

#include <doctest/doctest.h>

#include "mangovane/idempotency/claim_fixture.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr std::size_t keys = 6;
constexpr std::size_t instances = 3;

/// Callers repeat keys at several instances; each win is dispatched, abandoned or forgotten.
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

    /// Runs of the key's call.
    std::vector<int> runs = std::vector<int>(keys);
    std::vector<bool> stuck = std::vector<bool>(keys); ///< A holder died with the claim.
    std::size_t lost_calls{0};
    claim_fixture& cluster() { return fixture_; }

private:
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    call_outcome draw_outcome()
    {
        call_outcome chosen;
        chosen.effect = milliseconds{draw(30)};
        chosen.answer = chosen.effect + milliseconds{draw(30)};
        const auto kind = faults_ ? draw(5) : 4;
        chosen.lost = kind < 3;
        lost_calls += chosen.lost ? 1U : 0U;
        if (kind == 0)
        {
            chosen.effect = milliseconds{-1};
        }
        if (kind == 1)
        {
            chosen.effect = milliseconds{draw(500)}; // Perhaps long after the answer.
        }
        return chosen;
    }

    void start_claim()
    {
        const auto key = draw(keys);
        const auto instance = draw(instances);
        const auto wanted = fixture_.make(std::to_string(key));
        fixture_.batches[instance]->claim_key(
            wanted, fixture_.table.now(), fixture_.table.now() + milliseconds{20 + draw(200)},
            [this, key, instance, wanted](const absl::StatusOr<claim_result>& result)
            {
                if (result.ok() && result->acquired)
                {
                    on_won(key, instance, wanted);
                }
            });
    }

    void on_won(std::size_t key, std::size_t instance, const claim& held)
    {
        const auto pause = milliseconds{draw(100)};
        const auto end = draw(8);
        if (end >= 2)
        {
            settle_later(instance, held, claim_state::abandoned, pause);
            return;
        }
        fixture_.table.at(pause / 2, [this, key] { ++runs[key]; });
        stuck[key] = true;
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
                              fixture_.batches[instance]->settle(held, now, now + seconds{30},
                                                                 [](const absl::Status&) {});
                          });
    }

    std::mt19937_64 random_;
    claim_fixture fixture_;
    bool faults_{true};
};

} // namespace

TEST_CASE("claims under lost, failed, slow and late writes")
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
            CHECK(random.runs[key] <= 1); // A second run is a grant issued twice.
            ran += static_cast<std::size_t>(random.runs[key]);
            if (!random.stuck[key])
            {
                // A key whose call never ran must not be stuck at in_progress.
                CHECK(acquired(
                    random.cluster().claim_at(0, random.cluster().make(std::to_string(key)))));
            }
        }
    }
    MESSAGE(ran, " calls ran, ", lost, " calls of the table were lost");
    CHECK(ran > 0);
    CHECK(lost > 0);
}

TEST_CASE("claims per transaction keep the instance within one transaction per window")
{
    for (const std::size_t rate : {200, 2000})
    {
        CAPTURE(rate);
        claim_fixture one{1};
        std::mt19937_64 random{7};
        std::size_t wins = 0;
        for (std::size_t n = 0; n != rate * 2; ++n)
        {
            one.table.at(milliseconds{random() % 2000},
                         [&one, &wins, n]
                         {
                             one.batches[0]->claim_key(one.make(std::to_string(n)), one.table.now(),
                                                       one.table.now() + seconds{1},
                                                       [&wins](const auto& result)
                                                       { wins += result->acquired ? 1U : 0U; });
                         });
        }
        one.run(milliseconds{2100});
        const auto transactions = one.table.batches.size();
        CHECK(wins == rate * 2);
        CHECK(transactions <= 2 * 1000 / 5);
        MESSAGE(rate, " claims/s: ", transactions, " transactions in 2 s, ",
                static_cast<double>(wins) / static_cast<double>(transactions),
                " claims per transaction");
    }
}
