// Table service in simulated time, with a chosen outcome for each call.
#ifndef MANGOVANE_TEST_IDEMPOTENCY_FAKE_TABLE_HPP
#define MANGOVANE_TEST_IDEMPOTENCY_FAKE_TABLE_HPP

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mangovane/store/table_service.hpp"

namespace mangovane::test
{

/// Outcome of one call.
struct call_outcome
{
    milliseconds apply_after{1};  ///< When a write is applied; negative: never.
    milliseconds answer_after{2}; ///< When the handler is called.
    bool answer_lost{false};      ///< The handler receives an error.
    bool answer_crossed{false};   ///< The handler receives the results of the last write.

    auto operator<=>(const call_outcome&) const = default;
};

inline constexpr call_outcome succeeds{};
inline constexpr call_outcome reply_lost{milliseconds{1}, milliseconds{2}, true};
inline constexpr call_outcome reply_crossed{milliseconds{1}, milliseconds{2}, false, true};
inline constexpr call_outcome never_applied{milliseconds{-1}, milliseconds{2}, true};
inline constexpr call_outcome applied_after_answer{milliseconds{60}, milliseconds{2}, true};

class fake_table final : public table_service
{
public:
    using outcome_source = std::function<call_outcome()>;

    outcome_source next_write_outcome{[] { return succeeds; }};
    outcome_source next_read_outcome{[] { return succeeds; }};
    std::map<std::string, table_row> rows;
    std::vector<std::size_t> transaction_sizes; ///< Writes in each transaction.
    std::size_t reads{0};

    void read(std::string key, time_point, read_handler handler) override
    {
        ++reads;
        const auto chosen = next_read_outcome();
        at(chosen.answer_after,
           [this, key = std::move(key), handler = std::move(handler),
            answer_lost = chosen.answer_lost, answer_crossed = chosen.answer_crossed]
           {
               if (answer_lost)
               {
                   handler(absl::UnavailableError("reset"));
                   return;
               }
               if (answer_crossed)
               {
                   handler(last_results_.at(0).current);
                   return;
               }
               const auto it = rows.find(key);
               handler(it == rows.end() ? std::optional<table_row>{} : it->second);
           });
    }

    void write(std::vector<table_write> writes, time_point, write_handler handler) override
    {
        transaction_sizes.push_back(writes.size());
        const auto chosen = next_write_outcome();
        auto results = std::make_shared<std::vector<write_result>>();
        if (chosen.apply_after >= milliseconds{0})
        {
            at(chosen.apply_after,
               [this, results, writes = std::move(writes)]
               {
                   for (const auto& it : writes)
                   {
                       results->push_back(apply(it));
                   }
               });
        }
        at(chosen.answer_after,
           [this, results, handler = std::move(handler), chosen]
           {
               if (chosen.answer_lost)
               {
                   handler(absl::UnavailableError("reset"));
                   return;
               }
               handler(chosen.answer_crossed ? last_results_ : *results);
               last_results_ = *results;
           });
    }

    [[nodiscard]] time_point now() const { return now_; }

    /// Runs the next event that is due by `until`; false if there is none.
    bool step(time_point until)
    {
        if (events_.empty() || events_.begin()->first.first > until)
        {
            now_ = std::max(now_, until);
            return false;
        }
        const auto it = events_.begin();
        now_ = it->first.first;
        const auto run = std::move(it->second);
        events_.erase(it);
        run();
        return true;
    }

    /// Runs a function after a delay.
    void at(milliseconds delay, std::function<void()> run)
    {
        events_.emplace(std::pair{now_ + delay, ++sequence_}, std::move(run));
    }

private:
    write_result apply(const table_write& write)
    {
        auto& row = rows[write.key];
        if (row.revision != write.expected_revision)
        {
            return {false, row};
        }
        row = table_row{write.key, write.value, row.revision + 1};
        return {true, row};
    }

    time_point now_{seconds{1000}};
    std::uint64_t sequence_{0};
    std::vector<write_result> last_results_; ///< Of the last write that was answered.
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> events_;
};

} // namespace mangovane::test

#endif
