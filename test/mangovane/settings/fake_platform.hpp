// In-memory platform with injectable faults. Handlers are called by `run`, never inside a call.
#ifndef MANGOVANE_TEST_SETTINGS_FAKE_PLATFORM_HPP
#define MANGOVANE_TEST_SETTINGS_FAKE_PLATFORM_HPP

#include <deque>
#include <functional>
#include <map>
#include <utility>

#include "mangovane/store/table_service.hpp"

namespace mangovane
{

class fake_platform final : public table_service, public object_store
{
public:
    bool down{false};      ///< All calls return an error.
    int lost_responses{0}; ///< Next writes that take effect but return an error.
    int lost_writes{0};    ///< Next writes that do not take effect and return an error.
    int reads{0};          ///< Reads of rows so far.
    std::function<void()> before_write; ///< Called once, before the next write.
    std::map<std::string, table_row> rows;
    std::map<std::string, std::string> objects;

    void run()
    {
        while (!calls_.empty())
        {
            const auto call = std::move(calls_.front());
            calls_.pop_front();
            call();
        }
    }

    void read(std::string key, time_point, read_handler handler) override
    {
        ++reads;
        calls_.emplace_back([this, key, handler] { complete_read(key, handler); });
    }

    void write(std::vector<table_write> writes, time_point, write_handler handler) override
    {
        calls_.emplace_back([this, writes, handler] { complete_write(writes, handler); });
    }

    void get(std::string name, time_point, get_handler handler) override
    {
        calls_.emplace_back(
            [this, name, handler]
            {
                const auto it = objects.find(name);
                handler(down || it == objects.end()
                            ? absl::StatusOr<std::string>{absl::UnavailableError("no object")}
                            : absl::StatusOr<std::string>{it->second});
            });
    }

    void put(std::string name, std::string content, time_point, put_handler handler) override
    {
        calls_.emplace_back(
            [this, name, content, handler]
            {
                objects[name] = content;
                handler(down ? absl::UnavailableError("down") : absl::OkStatus());
            });
    }

private:
    void complete_read(const std::string& key, const read_handler& handler)
    {
        const auto it = rows.find(key);
        if (down)
        {
            handler(absl::UnavailableError("down"));
            return;
        }
        handler(it == rows.end() ? std::optional<table_row>{} : std::optional{it->second});
    }

    void complete_write(const std::vector<table_write>& writes, const write_handler& handler)
    {
        if (const auto hook = std::exchange(before_write, nullptr))
        {
            hook();
        }
        if (down || lost_writes-- > 0)
        {
            handler(absl::UnavailableError("down"));
            return;
        }
        std::vector<write_result> results;
        for (const auto& it : writes)
        {
            auto& row = rows[it.key];
            const bool applied = row.revision == it.expected_revision;
            row = applied ? table_row{it.key, it.value, row.revision + 1} : row;
            results.push_back({applied, row});
        }
        if (lost_responses-- > 0)
        {
            handler(absl::DeadlineExceededError("no response"));
            return;
        }
        handler(results);
    }

    std::deque<std::function<void()>> calls_;
};

} // namespace mangovane

#endif
