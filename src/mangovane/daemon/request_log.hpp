// Request observer that optionally logs each request.
#ifndef MANGOVANE_DAEMON_REQUEST_LOG_HPP
#define MANGOVANE_DAEMON_REQUEST_LOG_HPP

#include <string>

#include "mangovane/observe/forwarding_observer.hpp"

namespace mangovane
{

/// Log line of one request.
[[nodiscard]] std::string log_line(const request_record& record);

class request_log final : public forwarding_observer
{
public:
    /// `next` must outlive the log. Without `verbose`, only requests that a stop cuts are logged.
    request_log(request_observer& next, bool verbose) : forwarding_observer{next}, verbose_{verbose}
    {}

    void on_request_end(const request_record& record) override;
    void on_early_refusal(error_kind kind) override;
    void on_request_cut(const cut_request& cut) override;

private:
    const bool verbose_;
};

} // namespace mangovane

#endif
