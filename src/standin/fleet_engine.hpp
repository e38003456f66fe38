// Stand-in for an endpoint of the users' platform: answers plainly or as a stream of events, keeps
// a record of what it ran, and misbehaves on demand.
#ifndef MANGOVANE_STANDIN_FLEET_ENGINE_HPP
#define MANGOVANE_STANDIN_FLEET_ENGINE_HPP

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "standin/http_host.hpp"

namespace mangovane::standin
{

/// What an endpoint does with the next requests.
enum class engine_fault : std::uint8_t
{
    none,
    full,            ///< Refuses, and says that it did not run the request.
    error,           ///< Runs the request and answers 500.
    hang,            ///< Runs the request and never answers.
    reset,           ///< Runs the request and closes the connection without an answer.
    cut,             ///< Closes the connection in the middle of an event of the answer.
    garbage,         ///< Runs the request and sends bytes that are no answer.
    foreign,         ///< Answers with the id of another request.
    unsigned_answer, ///< Answers without its signature.
    vague,           ///< Answers 503 without saying whether it ran the request.
};

struct fleet_engine_behaviour
{
    std::string name;
    std::uint32_t events{6};
    std::chrono::milliseconds event_interval{5};
    std::chrono::milliseconds work{5}; ///< Before a plain answer, or before the first event.
};

/// A request that an endpoint ran.
struct engine_run
{
    std::string request;
    std::string target;
    std::string body;
    std::string account;
    std::string urgency;
    std::string prefix_source;
    std::string last_event;
    bool had_key{false}; ///< The caller's key was passed on.
    std::uint32_t deadline_ms{0};
    std::chrono::steady_clock::time_point at{}; ///< When it began.

    auto operator<=>(const engine_run&) const = default;
};

class fleet_engine
{
public:
    explicit fleet_engine(fleet_engine_behaviour behaviour) : behaviour_{std::move(behaviour)} {}

    boost::asio::awaitable<void> handle(const request& req, reply& rep);

    /// The next `count` requests meet the fault.
    void set_fault(engine_fault fault, std::uint32_t count);

    [[nodiscard]] std::vector<engine_run> runs() const;

private:
    [[nodiscard]] engine_fault take_fault();
    void record(const request& req);
    void sign(engine_fault fault, const request& req, reply& rep) const;
    boost::asio::awaitable<void> stream(const request& req, reply& rep, bool cut);
    boost::asio::awaitable<void> misbehave(engine_fault fault, const request& req, reply& rep);
    boost::asio::awaitable<void> control(const request& req, reply& rep);

    const fleet_engine_behaviour behaviour_;
    mutable std::mutex mutex_;
    std::vector<engine_run> runs_;           ///< Guarded by `mutex_`.
    engine_fault fault_{engine_fault::none}; ///< Guarded by `mutex_`.
    std::uint32_t fault_count_{0};           ///< Guarded by `mutex_`.
};

} // namespace mangovane::standin

#endif
