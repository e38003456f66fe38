// Load on a fleet: callers behind a balancer that sends only to ready routers.
#ifndef MANGOVANE_TEST_PROCESS_FLEET_LOAD_HPP
#define MANGOVANE_TEST_PROCESS_FLEET_LOAD_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.hpp"

namespace mangovane::test
{

/// Knows the routers that answered their last readiness check, like a platform's load balancer.
class balancer
{
public:
    explicit balancer(const fleet& target);
    ~balancer();

    /// A ready router; the turn of callers that pick decides which.
    [[nodiscard]] std::size_t pick();

private:
    void check();

    const fleet& fleet_;
    std::vector<std::atomic<bool>> ready_;
    std::atomic<std::size_t> turn_{0};
    std::atomic<bool> stop_{false};
    std::thread checker_;
};

/// One request of a caller with all its repetitions.
struct load_record
{
    std::string id;
    std::size_t router{0}; ///< Of the last attempt.
    std::size_t attempts{0};
    http_answer answer; ///< Of the last attempt.

    bool operator==(const load_record&) const = default;
};

/// What a caller does in each turn.
using caller_step = load_record (*)(const fleet&, balancer&, const std::string& id);

/// Sends one chat to one router.
load_record chat_step(const fleet& target, balancer& routers, const std::string& id);

/// The same; `fleet_load` lets its chats not return, so each is placed anew.
load_record new_chat_step(const fleet& target, balancer& routers, const std::string& id);

/// Sends a keyed write, and repeats it at another router until an answer is final.
load_record keyed_write_step(const fleet& target, balancer& routers, const std::string& id);

/// Callers that run steps, each in a thread, until they are stopped.
class fleet_load
{
public:
    fleet_load(const fleet& target,
               balancer& routers,
               caller_step step,
               const std::string& name,
               std::size_t callers);
    ~fleet_load();

    /// Ends after the requests that are running; what was answered.
    std::vector<load_record> stop();
    [[nodiscard]] std::size_t answered() const noexcept { return answered_; }

private:
    void run(std::size_t caller);

    const fleet& fleet_;
    balancer& routers_;
    caller_step step_;
    std::string name_;
    std::atomic<bool> stop_{false};
    std::atomic<std::size_t> answered_{0};
    std::mutex mutex_;
    std::vector<load_record> records_;
    std::vector<std::thread> threads_;
};

/// Checks that each chat was answered to its end; chats are never repeated by the caller.
void check_all_whole(const std::vector<load_record>& chats);

/// Checks that no key ran twice, and each answered write ran.
void check_ran_once(const fleet& target, const std::vector<load_record>& writes);

} // namespace mangovane::test

#endif
