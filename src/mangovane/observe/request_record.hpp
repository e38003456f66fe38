// Data of a request that has ended, for metrics and logs.
#ifndef MANGOVANE_OBSERVE_REQUEST_RECORD_HPP
#define MANGOVANE_OBSERVE_REQUEST_RECORD_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/core/id.hpp"
#include "mangovane/core/request_class.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/shutdown/cut_request.hpp"

namespace mangovane
{

struct request_record
{
    account_id account;
    std::string account_name;
    std::string service_name;
    request_class priority{request_class::standard};
    std::string outcome; ///< Name of an error kind, or "ok", "stored" or "cut".
    milliseconds total{0};
    milliseconds queue_wait{0};  ///< From acceptance to the dispatch of the last attempt.
    milliseconds first_token{0}; ///< From acceptance to the first byte of the response; 0: none.
    std::uint32_t attempts{0};
    bool has_affinity{false};  ///< The caller sent an affinity token.
    bool affinity_kept{false}; ///< The last attempt went to the first endpoint of the token.

    auto operator<=>(const request_record&) const = default;
};

/// Whether an outcome is that of a request which was served.
[[nodiscard]] constexpr bool is_served(std::string_view outcome)
{
    return outcome == "ok" || outcome == "stored";
}

/// Observer of requests. Called from any thread.
class request_observer
{
public:
    virtual ~request_observer() = default;
    virtual void on_request_end(const request_record& record) = 0;
    virtual void on_early_refusal(error_kind kind) = 0; ///< Refused before routing.
    virtual void on_dropped_answer() = 0; ///< A late or mismatched response was dropped.
    /// An attempt at an endpoint did not deliver a response; `result` names the reason.
    virtual void on_failed_attempt(std::string_view result) = 0;
    virtual void on_caller_stall() = 0; ///< A caller accepted no more data and was disconnected.
    /// The connection of a caller has ended; `reason` names the cause.
    virtual void on_session_end(std::string_view reason) = 0;
    virtual void on_request_cut(const cut_request&) {} ///< A stop has ended a running request.
};

} // namespace mangovane

#endif
