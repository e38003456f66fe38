// Test of a claim writer that several threads use at once: a lost update of its state would skip a
// handler or let two callers acquire a key. ThreadSanitizer reports data races.
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <doctest/doctest.h>

#include "mangovane/idempotency/claim_writer.hpp"
#include "mangovane/store/table_service.hpp"

using namespace mangovane;

namespace
{

constexpr std::size_t callers = 4;
constexpr std::uint64_t shared_keys = 100;

/// Answers from several threads; every fifth answer is lost.
class threaded_table final : public table_service
{
public:
    void read(std::string key, time_point, read_handler handler) override
    {
        boost::asio::post(pool_, [this, key = std::move(key), handler = std::move(handler)]
                          { handler(find(key)); });
    }
    void write(std::vector<table_write> writes, time_point, write_handler handler) override
    {
        boost::asio::post(pool_,
                          [this, writes = std::move(writes), handler = std::move(handler)]
                          {
                              auto results = apply(writes);
                              if (++calls_ % 5 == 0)
                              {
                                  handler(absl::UnavailableError("reset"));
                                  return;
                              }
                              handler(std::move(results));
                          });
    }
    void join() { pool_.join(); }

private:
    std::optional<table_row> find(const std::string& key)
    {
        const std::lock_guard lock{mutex_};
        const auto it = rows_.find(key);
        return it == rows_.end() ? std::optional<table_row>{} : it->second;
    }
    std::vector<write_result> apply(const std::vector<table_write>& writes)
    {
        const std::lock_guard lock{mutex_};
        std::vector<write_result> results;
        for (const auto& it : writes)
        {
            auto& row = rows_[it.key];
            const bool revision_matches = row.revision == it.expected_revision;
            row = revision_matches ? table_row{it.key, it.value, row.revision + 1} : row;
            results.push_back({revision_matches, row});
        }
        return results;
    }

    std::mutex mutex_;
    std::map<std::string, table_row> rows_; ///< Guarded by `mutex_`.
    std::atomic<std::uint64_t> calls_{0};
    boost::asio::thread_pool pool_{3};
};

} // namespace

TEST_CASE("several threads claim the same keys at one instance")
{
    threaded_table table;
    claim_writer writer{table};
    std::atomic<std::size_t> acquired_count{0};
    std::atomic<std::size_t> answered{0};
    std::atomic<std::size_t> settled{0};
    const auto claim_all = [&](std::uint64_t caller)
    {
        for (std::uint64_t n = 0; n != shared_keys; ++n)
        {
            claim wanted;
            wanted.key = std::to_string(n);
            wanted.attempt = {instance_id{1}, caller, n};
            const auto now = clock::now();
            writer.claim_key(wanted, now, now + seconds{20},
                             [&, wanted](const absl::StatusOr<claim_result>& result) mutable
                             {
                                 ++answered;
                                 if (!result.ok() || !result->acquired)
                                 {
                                     return;
                                 }
                                 ++acquired_count;
                                 wanted.state = claim_state::completed;
                                 const auto at = clock::now();
                                 writer.settle(wanted, at, at + seconds{20},
                                               [&](const auto& status)
                                               { settled += status.ok() ? 1U : 0U; });
                             });
        }
    };
    std::vector<std::thread> threads;
    for (std::uint64_t n = 0; n != callers; ++n)
    {
        threads.emplace_back(claim_all, n);
    }
    const auto end = clock::now() + seconds{20};
    while (clock::now() < end && (answered != callers * shared_keys || settled != shared_keys))
    {
        writer.tick(clock::now());
        std::this_thread::sleep_for(milliseconds{1});
    }
    for (auto& it : threads)
    {
        it.join();
    }
    table.join();
    CHECK(answered == callers * shared_keys); // Each handler was called.
    CHECK(acquired_count == shared_keys);     // Each key was acquired once.
    CHECK(settled == shared_keys);            // Each outcome was stored.
}
