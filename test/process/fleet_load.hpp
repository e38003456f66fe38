// Load generator: callers behind a load balancer that selects only ready routers.
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

/// Round robin over the routers that passed their last readiness check.
class load_balancer
{
public:
    explicit load_balancer(const fleet& target);
    ~load_balancer();

    /// The next ready router, or the next one of all if none is ready.
    [[nodiscard]] std::size_t pick();

private:
    void check();

    const fleet& fleet_;
    std::vector<std::atomic<bool>> ready_;
    std::atomic<std::size_t> turn_{0};
    std::atomic<bool> stop_{false};
    std::thread checker_;
};

/// One request of a caller with its retries.
struct load_record
{
    std::string id;
    std::size_t router{0}; ///< Of the last attempt.
    std::size_t attempts{0};
    http_response response; ///< Of the last attempt.

    bool operator==(const load_record&) const = default;
};

/// A request of a caller in its loop.
using caller_step = load_record (*)(const fleet&, load_balancer&, const std::string& id);

/// Sends one chat to one router.
load_record chat_step(const fleet& target, load_balancer& routers, const std::string& id);

/// Same as `chat_step`, but `fleet_load` uses a new chat each time, so that each is placed anew.
load_record new_chat_step(const fleet& target, load_balancer& routers, const std::string& id);

/// Sends a keyed write and retries it at the next ready router until a response is final.
load_record keyed_write_step(const fleet& target, load_balancer& routers, const std::string& id);

/// Runs a step in a loop in one thread per caller until stopped.
class fleet_load
{
public:
    fleet_load(const fleet& target,
               load_balancer& routers,
               caller_step step,
               const std::string& name,
               std::size_t callers);
    ~fleet_load();

    /// Waits for the running requests and returns the records of all requests.
    std::vector<load_record> stop();
    [[nodiscard]] std::size_t answered() const noexcept { return answered_; }

private:
    void run(std::size_t caller);

    const fleet& fleet_;
    load_balancer& routers_;
    caller_step step_;
    std::string name_;
    std::atomic<bool> stop_{false};
    std::atomic<std::size_t> answered_{0};
    std::mutex mutex_;
    std::vector<load_record> records_;
    std::vector<std::thread> threads_;
};

/// Checks that every chat response is complete; callers do not retry chats.
void check_all_complete(const std::vector<load_record>& chats);

/// Checks that no key ran twice, and that every write with status 200 ran.
void check_ran_once(const fleet& target, const std::vector<load_record>& writes);

} // namespace mangovane::test

#endif
