// Stand-in for an endpoint of the platform: responds with a plain body or an event stream, records
// the requests that it ran, and injects faults.
#ifndef MANGOVANE_STANDIN_FLEET_ENGINE_HPP
#define MANGOVANE_STANDIN_FLEET_ENGINE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "standin/http_host.hpp"

namespace mangovane::standin
{

/// Fault applied to a request.
enum class engine_fault : std::uint8_t
{
    none,
    full,             ///< Responds 503 with `X-Not-Executed`, without running the request.
    error,            ///< Runs the request and responds 500.
    hang,             ///< Runs the request and sends no response.
    reset,            ///< Runs the request and resets the connection without a response.
    cut,              ///< Resets the connection in the third event, or the last of fewer, or after
                      ///< the head of a response without events.
    malformed,        ///< Runs the request and sends bytes that are not HTTP.
    wrong_attempt_id, ///< Responds with the attempt id of another request.
    unsigned_answer,  ///< Responds without `X-Server-Signature`.
    ambiguous,        ///< Runs the request and responds 503 without `X-Not-Executed`.
    break_off, ///< Ends the response at some byte of its events, which depends on the request id:
               ///< resets or closes the connection, or ends a stream as if it were complete.
};

/// Events of a stream and the time that a response takes.
struct engine_work
{
    std::uint32_t events{6};
    std::chrono::milliseconds event_interval{5};
    std::chrono::milliseconds delay{5}; ///< Before a plain response or the first event.

    auto operator<=>(const engine_work&) const = default;
};

struct fleet_engine_behaviour
{
    std::string name;
    engine_work work; ///< Of requests for which `work_of` is not set.
    /// Work of a request by its id.
    std::function<engine_work(const std::string& request)> work_of{};
    /// Whether a request without another fault gets `engine_fault::error`, by its id.
    std::function<bool(const std::string& request)> fails{};
    /// Whether a stream has neither a length nor chunks and ends with its connection, by its
    /// request's id; not set: none.
    std::function<bool(const std::string& request)> ends_with_connection{};
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
    bool had_key{false}; ///< The caller's key was forwarded.
    std::uint32_t deadline_ms{0};
    std::chrono::steady_clock::time_point at{}; ///< Start of the run.
    /// End of the response or loss of the connection; `max` while the run lasts.
    std::chrono::steady_clock::time_point ended_at{std::chrono::steady_clock::time_point::max()};

    auto operator<=>(const engine_run&) const = default;
};

class fleet_engine
{
public:
    explicit fleet_engine(fleet_engine_behaviour behaviour) : behaviour_{std::move(behaviour)} {}

    boost::asio::awaitable<void> handle(const request& req, reply& rep);

    /// Applies the fault to the next `count` requests.
    void set_fault(engine_fault fault, std::uint32_t count);

    [[nodiscard]] std::vector<engine_run> runs() const;

private:
    [[nodiscard]] engine_fault consume_fault();
    [[nodiscard]] engine_fault fault_of(const request& req);
    /// Records a run and returns its index.
    [[nodiscard]] std::size_t record(const request& req);
    void record_end(std::size_t run);
    [[nodiscard]] engine_work work_of(const request& req) const;
    void add_signature(engine_fault fault, const request& req, reply& rep) const;
    boost::asio::awaitable<void> respond(engine_fault fault, const request& req, reply& rep);
    /// With `cut`, the response never ends as complete.
    boost::asio::awaitable<void> stream(const request& req, reply& rep, bool cut);
    [[nodiscard]] bool ends_with_connection(const request& req) const;
    boost::asio::awaitable<void> break_off(const request& req, reply& rep);
    boost::asio::awaitable<void> apply_fault(engine_fault fault, const request& req, reply& rep);
    boost::asio::awaitable<void> control(const request& req, reply& rep);

    const fleet_engine_behaviour behaviour_;
    mutable std::mutex mutex_;
    std::vector<engine_run> runs_;           ///< Guarded by `mutex_`.
    engine_fault fault_{engine_fault::none}; ///< Guarded by `mutex_`.
    std::uint32_t fault_count_{0};           ///< Guarded by `mutex_`.
};

} // namespace mangovane::standin

#endif
