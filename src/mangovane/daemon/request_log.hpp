// Request observer that optionally logs each request.
#ifndef MANGOVANE_DAEMON_REQUEST_LOG_HPP
#define MANGOVANE_DAEMON_REQUEST_LOG_HPP

#include <string>

#include "mangovane/observe/request_record.hpp"

namespace mangovane
{

/// Log line of one request.
[[nodiscard]] std::string log_line(const request_record& record);

/// Forwards all events to another observer.
class request_log final : public request_observer
{
public:
    /// `next` must outlive the log. Without `verbose`, only requests that a stop cuts are logged.
    request_log(request_observer& next, bool verbose) : next_{next}, verbose_{verbose} {}

    void on_request_end(const request_record& record) override;
    void on_early_refusal(error_kind kind) override;
    void on_dropped_answer() override { next_.on_dropped_answer(); }
    void on_failed_attempt(std::string_view result) override { next_.on_failed_attempt(result); }
    void on_caller_stall() override { next_.on_caller_stall(); }
    void on_session_end(std::string_view reason) override { next_.on_session_end(reason); }
    void on_request_cut(const cut_request& cut) override;

private:
    request_observer& next_;
    const bool verbose_;
};

} // namespace mangovane

#endif
