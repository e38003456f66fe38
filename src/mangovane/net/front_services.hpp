// What the HTTP front end needs from the process it runs in.
#ifndef MANGOVANE_NET_FRONT_SERVICES_HPP
#define MANGOVANE_NET_FRONT_SERVICES_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "mangovane/idempotency/claim_batch.hpp"
#include "mangovane/routing/coordinator.hpp"

namespace mangovane
{

/// Where claims are made. Handlers may be called from any thread.
class claim_port
{
public:
    virtual ~claim_port() = default;
    virtual void
    claim_key(claim wanted, time_point deadline, claim_batch::claim_handler handler) = 0;
    virtual void
    settle(claim settled, time_point deadline, claim_batch::settle_handler handler) = 0;
};

/// What is observed of a request that has ended.
struct request_record
{
    account_id account;
    std::string account_name;
    std::string service_name;
    request_class priority{request_class::standard};
    std::string outcome; ///< Name of an error kind, or "ok", "stored" or "cut".
    milliseconds total{0};
    milliseconds queue_wait{0};  ///< From acceptance to the dispatch of the last attempt.
    milliseconds first_token{0}; ///< From acceptance to the first byte of the answer; 0: none.
    std::uint32_t attempts{0};

    auto operator<=>(const request_record&) const = default;
};

/// Strategy for observing requests.
class request_observer
{
public:
    virtual ~request_observer() = default;
    virtual void on_request_end(const request_record& record) = 0;
    virtual void on_dropped_answer() = 0; ///< A late or crossed answer.
};

/// Limits of what a caller may send.
struct front_limits
{
    std::uint32_t header_bytes{16U * 1024};
    std::uint64_t body_bytes{8ULL * 1024 * 1024};
    milliseconds header_timeout{10000};
    milliseconds idle_timeout{60000};
    milliseconds write_timeout{60000};
    milliseconds connect_timeout{1000};

    auto operator<=>(const front_limits&) const = default;
};

/// All references outlive the server.
struct front_services
{
    coordinator& core;
    claim_port& claims;
    request_observer& observer;
    const std::atomic<bool>& ready;
    std::function<std::string()> metrics_text; ///< Prometheus text without account labels.
    front_limits limits;
};

} // namespace mangovane

#endif
