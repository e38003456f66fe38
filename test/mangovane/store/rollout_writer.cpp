// Guards against a status that is lost with an answer or with its writer, and against more calls to
// the store than are needed.
#include "mangovane/store/rollout_writer.hpp"

#include <optional>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const service_id service = service_id::of("huvo");
constexpr milliseconds duration_of_order{60'000};

/// Rows in memory. Calls are answered when the test asks for it.
class manual_table final : public rollout_table
{
public:
    void read(time_point, listing_handler done) override
    {
        ++reads;
        reading_ = std::move(done);
    }
    void write(const rollout_write& rows, time_point, write_handler done) override
    {
        writes.push_back(rows);
        writing_ = std::move(done);
    }

    void answer_read()
    {
        rollout_listing listing;
        listing.now = now;
        if (rows)
        {
            listing.services["huvo"] = *rows;
        }
        std::exchange(reading_, nullptr)(listing);
    }
    void fail_read() { std::exchange(reading_, nullptr)(absl::UnavailableError("down")); }

    /// Applies the write as the store does.
    void apply(const rollout_write& it)
    {
        const auto current = rows.value_or(rollout_rows{});
        applied = current.status.revision == it.status_revision &&
                  current.progress.revision == it.progress_revision;
        if (applied)
        {
            revision += 1;
            rows = rollout_rows{{revision, it.status}, {revision, it.progress}};
        }
    }
    void answer_write()
    {
        apply(writes.back());
        end_write(applied ? absl::OkStatus() : absl::FailedPreconditionError("changed"));
    }
    void lose_answer()
    {
        apply(writes.back());
        end_write(absl::DeadlineExceededError("no answer"));
    }
    void end_write(const absl::Status& status) { std::exchange(writing_, nullptr)(status); }

    [[nodiscard]] bool is_waiting() const { return reading_ || writing_; }

    std::optional<rollout_rows> rows;
    std::uint64_t revision{100};
    milliseconds now{5000};
    int reads{0};
    std::vector<rollout_write> writes;
    bool applied{false};

private:
    listing_handler reading_;
    write_handler writing_;
};

struct instance
{
    explicit instance(manual_table& table) : writer{registry, table}
    {
        registry.observe(service, {{"v1", 3}, {"v2", 3}}, start);
        registry.set_orders({{service, "huvo", "v2", {0, 40}, duration_of_order}}, start);
    }

    void roll_back()
    {
        rollout_report report;
        report.service = service;
        report.order = {0, 40};
        report.version = "v2";
        report.state = rollout_state::rolled_back;
        report.deadline = time_point::max();
        registry.on_report(instance_id{7}, report, start);
    }
    [[nodiscard]] rollout_state state() { return registry.summaries().at(0).state; }

    const time_point start{clock::now()};
    rollout_registry registry{rollout_policy{0.1, 50, milliseconds{5000}}};
    rollout_writer writer;
};

} // namespace

TEST_CASE("a reader of the store")
{
    manual_table table;

    SUBCASE("calls nobody without an order")
    {
        rollout_registry registry{rollout_policy{0.1, 50, milliseconds{5000}}};
        rollout_writer writer{registry, table};
        writer.tick(clock::now(), 0);
        CHECK(table.reads == 0);
        CHECK(table.writes.empty());
    }
    SUBCASE("reads the rows before it writes, one call at a time")
    {
        instance it{table};
        it.writer.tick(it.start, 0);
        it.writer.tick(it.start, 0);
        CHECK(table.reads == 1);
        CHECK(table.writes.empty());
        table.answer_read();
        it.writer.tick(it.start, 0);
        it.writer.tick(it.start, 0);
        REQUIRE(table.writes.size() == 1);
        CHECK(table.writes.back().status.state == rollout_state::running);
        table.answer_write();
        CHECK(table.applied);

        SUBCASE("and reads again what it has written, then only at intervals")
        {
            const auto now = clock::now();
            it.writer.tick(now, 0);
            CHECK(table.reads == 2);
            table.answer_read();
            it.writer.tick(now, 0);
            CHECK_FALSE(table.is_waiting());
            it.writer.tick(now + rollout_writer::read_period, 0);
            CHECK(table.reads == 3);
            CHECK(table.writes.size() == 1);
        }
        SUBCASE("and another reader that read before that write does not replace it")
        {
            manual_table copy; // What the other reader saw: no rows.
            instance other{copy};
            other.writer.tick(other.start, 0);
            copy.answer_read();
            other.roll_back();
            other.writer.tick(other.start, 0);
            REQUIRE(copy.writes.size() == 1);
            const auto before = table.rows;
            table.apply(copy.writes.back());
            CHECK_FALSE(table.applied);
            CHECK(table.rows == before);
        }
    }
    SUBCASE("tries again a short time after a read that failed")
    {
        instance it{table};
        it.writer.tick(it.start, 0);
        table.fail_read();
        it.writer.tick(clock::now(), 0);
        CHECK(table.reads == 1);
        it.writer.tick(clock::now() + rollout_writer::retry_period, 0);
        CHECK(table.reads == 2);
        CHECK(table.writes.empty());
    }
}

TEST_CASE("a final status")
{
    manual_table table;
    instance it{table};
    it.writer.tick(it.start, 0);
    table.answer_read();
    it.roll_back();
    it.writer.tick(clock::now(), 0);
    REQUIRE(table.writes.size() == 1);
    CHECK(table.writes.back().status.state == rollout_state::rolled_back);
    const auto retry_time = [] { return clock::now() + rollout_writer::retry_period; };

    SUBCASE("whose answer is lost is found by reading the rows, and not written twice")
    {
        table.lose_answer();
        it.writer.tick(retry_time(), 0);
        table.answer_read();
        it.writer.tick(retry_time(), 0);
        CHECK(table.writes.size() == 1);
        CHECK_FALSE(table.is_waiting());
    }
    SUBCASE("that was not stored is written again")
    {
        table.end_write(absl::UnavailableError("down"));
        it.writer.tick(retry_time(), 0);
        table.answer_read();
        it.writer.tick(retry_time(), 0);
        CHECK(table.writes.size() == 2);
    }
    SUBCASE("that another reader wrote first holds for this one too")
    {
        const rollout_progress progress{{0, 40}, "v2", milliseconds{60'000}};
        table.rows =
            rollout_rows{{150, rollout_status{"v2", rollout_state::done}}, {150, progress}};
        table.answer_write();
        CHECK_FALSE(table.applied);
        it.writer.tick(clock::now(), 0);
        table.answer_read();
        it.writer.tick(clock::now(), 0);
        CHECK(it.state() == rollout_state::done);
        CHECK(table.writes.size() == 1);
        CHECK(table.rows->status.value->state == rollout_state::done);
    }
    SUBCASE("leaves the next order its whole duration (guards against a deadline that is counted "
            "from the last read of the rows, long before the order)")
    {
        table.answer_write();
        it.writer.tick(clock::now(), 0);
        table.answer_read();
        it.writer.tick(clock::now(), 0);
        REQUIRE_FALSE(table.is_waiting());

        const auto later = clock::now() + 3 * duration_of_order;
        it.registry.set_orders({{service, "huvo", "v2", {0, 200}, duration_of_order}}, later);
        table.now += 3 * duration_of_order;
        it.writer.tick(later, 0);
        if (table.writes.size() == 1)
        {
            REQUIRE(table.is_waiting());
            table.answer_read();
            it.writer.tick(clock::now(), 0);
        }
        REQUIRE(table.writes.size() == 2);
        CHECK(table.writes.back().progress.order == store_revision{0, 200});
        CHECK(table.writes.back().progress.deadline == table.now + duration_of_order);
    }
    SUBCASE("that a store lost when it came back older is written again")
    {
        table.answer_write();
        it.writer.tick(clock::now(), 0);
        table.answer_read();
        it.writer.tick(clock::now(), 0);
        table.rows.reset();
        it.writer.tick(clock::now() + rollout_writer::read_period, 0);
        REQUIRE_FALSE(table.is_waiting());

        it.writer.tick(clock::now(), 1);
        REQUIRE(table.is_waiting());
        table.answer_read();
        it.writer.tick(clock::now(), 1);
        REQUIRE(table.writes.size() == 2);
        CHECK(table.writes.back().status.state == rollout_state::rolled_back);

        SUBCASE("once")
        {
            table.answer_write();
            it.writer.tick(clock::now(), 1);
            table.answer_read();
            it.writer.tick(clock::now() + rollout_writer::read_period, 1);
            CHECK(table.writes.size() == 2);
            CHECK_FALSE(table.is_waiting());
        }
    }
}
