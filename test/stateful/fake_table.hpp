// A fake platform table for stateful tests. Responses are delayed and can be lost.
#ifndef MANGOVANE_TEST_STATEFUL_FAKE_TABLE_HPP
#define MANGOVANE_TEST_STATEFUL_FAKE_TABLE_HPP

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mangovane/store/table_service.hpp"

namespace mangovane::test
{

/// Rows and fault state, shared by all instances.
struct table_rows
{
    std::map<std::string, table_row> rows;
    bool down{false};
    bool lose_responses{false};
    milliseconds delay{2};
};

/// One instance's connection to the table. `run` executes the operations that are due.
class fake_table final : public table_service
{
public:
    fake_table(table_rows& rows, const time_point& now) : rows_{rows}, now_{now} {}

    /// The instance cannot reach the platform.
    bool disconnected{false};

    void read(std::string key, time_point, read_handler handler) override
    {
        schedule(
            [this, key = std::move(key), handler = std::move(handler)]
            {
                if (disconnected || rows_.down)
                {
                    handler(absl::UnavailableError("the table is down"));
                    return;
                }
                const auto it = rows_.rows.find(key);
                handler(it == rows_.rows.end() ? std::optional<table_row>{} : it->second);
            });
    }

    void write(std::vector<table_write> writes, time_point, write_handler handler) override
    {
        schedule(
            [this, writes = std::move(writes), handler = std::move(handler)]
            {
                if (disconnected || rows_.down)
                {
                    handler(absl::UnavailableError("the table is down"));
                    return;
                }
                auto results = apply(writes);
                if (rows_.lose_responses)
                {
                    handler(absl::UnavailableError("the response was lost"));
                    return;
                }
                handler(std::move(results));
            });
    }

    /// Executes the operations that are due.
    void run()
    {
        std::vector<std::pair<time_point, std::function<void()>>> due;
        std::erase_if(tasks_,
                      [&](auto& it)
                      {
                          const bool ready = it.first <= now_;
                          if (ready)
                          {
                              due.push_back(std::move(it));
                          }
                          return ready;
                      });
        for (const auto& it : due)
        {
            it.second();
        }
    }

private:
    void schedule(std::function<void()> task)
    {
        tasks_.emplace_back(now_ + rows_.delay, std::move(task));
    }

    std::vector<write_result> apply(const std::vector<table_write>& writes)
    {
        std::vector<write_result> results;
        for (const auto& it : writes)
        {
            auto& row = rows_.rows[it.key];
            const bool applied = row.revision == it.expected_revision;
            if (applied)
            {
                row = table_row{it.key, it.value, row.revision + 1};
            }
            results.push_back({applied, row});
        }
        return results;
    }

    table_rows& rows_;
    const time_point& now_;
    std::vector<std::pair<time_point, std::function<void()>>> tasks_;
};

} // namespace mangovane::test

#endif
