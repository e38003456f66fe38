// Tests of claims when calls of the table service fail, are answered late or lose their answer.
// Two attempts that both acquire a key run its call twice; a claim that is neither settled nor
// abandoned blocks its key until the end of the retention.
#include "mangovane/idempotency/claim_writer.hpp"

#include <doctest/doctest.h>

#include "mangovane/idempotency/claim_fixture.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

/// Gives the calls these outcomes in order; later calls succeed.
fake_table::outcome_source in_order(std::vector<call_outcome> fates)
{
    return [fates = std::move(fates), n = std::size_t{0}]() mutable
    { return n < fates.size() ? fates[n++] : succeeds; };
}

fake_table::outcome_source always(call_outcome chosen)
{
    return [chosen] { return chosen; };
}

} // namespace

TEST_CASE("a key that two instances claim at the same time")
{
    claim_fixture two;
    int acquired_count = 0;
    int in_progress = 0;
    for (const auto& it : two.writers)
    {
        it->claim_key(two.make("k"), two.table.now(), two.table.now() + seconds{1},
                      [&](const absl::StatusOr<claim_result>& result)
                      {
                          REQUIRE(result.ok());
                          acquired_count += result->acquired ? 1 : 0;
                          in_progress +=
                              result->duplicate.refusal == error_kind::in_progress ? 1 : 0;
                      });
    }
    SUBCASE("is acquired by one of them, so that its call cannot run twice")
    {
        two.run(milliseconds{50});
        CHECK(acquired_count == 1);
        CHECK(in_progress == 1);
    }
    SUBCASE("is acquired by one of them also if the answers of both writes are lost")
    {
        two.table.next_write_outcome = in_order({reply_lost, reply_lost});
        two.run(milliseconds{50});
        CHECK(acquired_count == 1);
        CHECK(in_progress == 1);
    }
}

TEST_CASE("a key that one instance claims twice in one window is claimed once")
{
    claim_fixture one{1};
    int acquired_count = 0;
    for (int n = 0; n != 2; ++n)
    {
        one.writers[0]->claim_key(one.make("k"), one.table.now(), one.table.now() + seconds{1},
                                  [&](const auto& result)
                                  { acquired_count += result->acquired ? 1 : 0; });
    }
    one.run(milliseconds{50});
    CHECK(acquired_count == 1);
    CHECK(one.table.transaction_sizes == std::vector<std::size_t>{1, 1});
}

TEST_CASE("the answer to a claim is lost")
{
    claim_fixture two;
    const auto mine = two.make("k");

    SUBCASE("after the write: the read back finds the attempt's own claim and does not refuse it")
    {
        two.table.next_write_outcome = in_order({reply_lost});
        CHECK(acquired(two.claim_at(0, mine)));
        CHECK(two.table.reads == 1);
    }
    SUBCASE("before the write was applied: the claim is written again")
    {
        two.table.next_write_outcome = in_order({never_applied, never_applied});
        CHECK(acquired(two.claim_at(0, mine)));
    }
    SUBCASE("and the first write arrives after the second: it does not overwrite a settled claim")
    {
        two.table.next_write_outcome = in_order({applied_after_answer});
        CHECK(acquired(two.claim_at(0, mine, milliseconds{40})));
        CHECK(two.settle_at(0, mine, claim_state::completed, milliseconds{15})->ok());
        two.run(milliseconds{100});
        CHECK(two.stored("k").state == claim_state::completed);
    }
    SUBCASE("and the row cannot be read before the deadline: the caller gets an error")
    {
        two.table.next_write_outcome = in_order({reply_lost});
        two.table.next_read_outcome = always(never_applied);
        const auto answer = two.claim_at(0, mine, milliseconds{50});
        REQUIRE(answer);
        CHECK(kind_of(answer->status()) == error_kind::store_unavailable);

        SUBCASE("and the claim is abandoned later, so that repeats are not refused as in_progress")
        {
            CHECK(refusal(two.claim_at(1, two.make("k"))) == error_kind::in_progress);
            two.table.next_read_outcome = always(succeeds);
            two.run(milliseconds{500});
            CHECK(two.stored("k").state == claim_state::abandoned);
            CHECK(acquired(two.claim_at(1, two.make("k"))));
        }
        SUBCASE("and if the store stays down, the reads end after abandon_retry_time")
        {
            two.run(claim_writer::abandon_retry_time + seconds{1});
            const auto reads = two.table.reads;
            two.run(seconds{5});
            CHECK(two.table.reads == reads);
        }
    }
    SUBCASE("and its write is still in flight: an abandoned row keeps it from being applied")
    {
        two.table.next_write_outcome =
            in_order({call_outcome{milliseconds{300}, milliseconds{2}, true}});
        two.table.next_read_outcome = in_order({never_applied, never_applied});
        const auto answer = two.claim_at(0, mine, milliseconds{20});
        CHECK(!answer->ok());
        two.run(milliseconds{500});
        CHECK(two.stored("k").state == claim_state::abandoned);
        CHECK(acquired(two.claim_at(1, two.make("k"), milliseconds{50})));
    }
}

TEST_CASE("a repeat of a key")
{
    claim_fixture two;
    auto first = two.make("k");
    REQUIRE(acquired(two.claim_at(0, first)));

    SUBCASE("is refused until the settlement, however long the holder takes")
    {
        two.run(seconds{30});
        CHECK(refusal(two.claim_at(1, two.make("k"))) == error_kind::in_progress);
    }
    SUBCASE("with another body is refused as key_reused")
    {
        CHECK(refusal(two.claim_at(1, two.make("k", 2))) == error_kind::key_reused);
    }
    SUBCASE("gets the stored outcome byte for byte")
    {
        first.outcome = claim_outcome{201, "text/plain", std::string{"\0\xff", 2}, 0, true};
        CHECK(two.settle_at(0, first, claim_state::completed)->ok());
        const auto answer = two.claim_at(1, two.make("k"));
        REQUIRE(answer->ok());
        CHECK(!(*answer)->acquired);
        CHECK((*answer)->duplicate.outcome->body == first.outcome->body);
        CHECK((*answer)->duplicate.outcome->http_status == 201);
    }
    SUBCASE("of a call with an oversized body finds its digest only, so that rows stay small")
    {
        first.outcome =
            claim_outcome{200, "", std::string(max_stored_body_bytes + 1, 'x'), 0, true};
        CHECK(two.settle_at(0, first, claim_state::completed)->ok());
        const auto outcome = two.stored("k").outcome;
        CHECK(!outcome->body_stored);
        CHECK(outcome->body.empty());
        CHECK(outcome->body_digest == hash_bytes(first.outcome->body));
    }
    SUBCASE("of a call with an unknown outcome is refused")
    {
        CHECK(two.settle_at(0, first, claim_state::unknown)->ok());
        CHECK(refusal(two.claim_at(1, two.make("k"))) == error_kind::outcome_unknown);
    }
    SUBCASE("acquires the key once the first claim was abandoned before dispatch")
    {
        CHECK(two.settle_at(0, first, claim_state::abandoned)->ok());
        CHECK(acquired(two.claim_at(1, two.make("k"))));

        SUBCASE("and the first attempt can no longer store an outcome")
        {
            CHECK(absl::IsFailedPrecondition(*two.settle_at(0, first, claim_state::completed)));
        }
    }
    SUBCASE("is refused until the retention ends, and then acquires the key")
    {
        auto late = two.make("k");
        late.claimed_unix_ms = first.expires_unix_ms - 1;
        CHECK(refusal(two.claim_at(1, late)) == error_kind::in_progress);
        late.claimed_unix_ms = first.expires_unix_ms;
        CHECK(acquired(two.claim_at(1, late)));
    }
}

TEST_CASE("the settlement of a claim")
{
    claim_fixture two;
    const auto mine = two.make("k");
    REQUIRE(acquired(two.claim_at(0, mine)));
    const auto reads = two.table.reads;

    SUBCASE("needs no read at the instance that holds the claim, and keeps the retention")
    {
        auto settled = mine;
        settled.expires_unix_ms = 0;
        CHECK(two.settle_at(0, settled, claim_state::completed)->ok());
        CHECK(two.table.reads == reads);
        CHECK(two.stored("k").expires_unix_ms == mine.expires_unix_ms);
    }
    SUBCASE("is confirmed by a read if its answer is lost, so that abandoned is reported only if "
            "stored")
    {
        two.table.next_write_outcome = in_order({reply_lost});
        CHECK(two.settle_at(0, mine, claim_state::abandoned)->ok());
        CHECK(two.stored("k").state == claim_state::abandoned);
    }
    SUBCASE("is retried while the store fails, and ends with an error at the deadline")
    {
        two.table.next_write_outcome = in_order({never_applied, never_applied, never_applied});
        CHECK(two.settle_at(0, mine, claim_state::completed)->ok());
        two.table.next_write_outcome = always(never_applied);
        const auto other = two.make("other");
        CHECK(!two.settle_at(0, other, claim_state::completed)->ok());
    }
}

TEST_CASE("many claims")
{
    claim_fixture one{1};
    std::size_t answered = 0;
    std::size_t refused = 0;
    const auto claim_new = [&](std::size_t n)
    {
        one.writers[0]->claim_key(one.make(std::to_string(n)), one.table.now(),
                                  one.table.now() + seconds{1},
                                  [&](const absl::StatusOr<claim_result>& result)
                                  {
                                      ++answered;
                                      refused += result.ok() ? 0U : 1U;
                                  });
    };
    SUBCASE("are batched, at most 64 in a transaction")
    {
        for (std::size_t n = 0; n != 150; ++n)
        {
            claim_new(n);
        }
        one.run(milliseconds{50});
        CHECK(answered == 150);
        CHECK(one.table.transaction_sizes == std::vector<std::size_t>{64, 64, 22});
    }
    SUBCASE("beyond the limit are refused at once while the store hangs, so that memory is bounded")
    {
        one.table.next_write_outcome =
            always(call_outcome{milliseconds{-1}, milliseconds{4900}, true});
        for (std::size_t n = 0; n != claim_writer::max_pending_claims + 10; ++n)
        {
            claim_new(n);
        }
        CHECK(refused == 10);
        one.run(milliseconds{1100});
        CHECK(answered == claim_writer::max_pending_claims + 10);
        CHECK(refused == answered);

        SUBCASE("and new claims are accepted once the store answers again")
        {
            one.table.next_write_outcome = always(succeeds);
            one.run(seconds{6});
            CHECK(acquired(one.claim_at(0, one.make("later"))));
        }
    }
    SUBCASE("get an error when the instance shuts down")
    {
        claim_new(0);
        one.writers.clear();
        CHECK(refused == 1);
    }
}

TEST_CASE("the table's response to an earlier call arrives a second time, in place of the next one")
{
    claim_fixture one{1};
    auto other = one.make("other");
    REQUIRE(acquired(one.claim_at(0, other)));
    other.outcome = claim_outcome{200, "text/plain", "an answer for another caller"};
    REQUIRE(one.settle_at(0, other, claim_state::completed)->ok());

    SUBCASE("to a claim: the claim is read back, and gets no outcome of another key")
    {
        one.table.next_write_outcome = in_order({reply_crossed});
        CHECK(acquired(one.claim_at(0, one.make("mine"))));
        CHECK(one.stored("mine").state == claim_state::claimed);
    }
    SUBCASE("to the read that follows a lost response")
    {
        one.table.next_write_outcome = in_order({reply_lost});
        one.table.next_read_outcome = in_order({reply_crossed});
        CHECK(acquired(one.claim_at(0, one.make("mine"))));
        CHECK(one.table.reads == 2);
    }
}
