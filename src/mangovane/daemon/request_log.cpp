// Implementation of the request log.
#include "mangovane/daemon/request_log.hpp"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

namespace mangovane
{

std::string log_line(const request_record& record)
{
    const std::string priority{to_string(record.priority)};
    return absl::StrCat(
        "event=request account=", record.account_name, " service=", record.service_name,
        " class=", priority, " outcome=", record.outcome, " attempts=", record.attempts,
        " total_ms=", record.total.count(), " queue_wait_ms=", record.queue_wait.count(),
        " first_token_ms=", record.first_token.count());
}

void request_log::on_request_end(const request_record& record)
{
    if (verbose_)
    {
        LOG(INFO) << log_line(record);
    }
    forwarding_observer::on_request_end(record);
}

void request_log::on_request_cut(const cut_request& cut)
{
    LOG(INFO) << log_line(cut);
    forwarding_observer::on_request_cut(cut);
}

void request_log::on_early_refusal(error_kind kind)
{
    if (verbose_)
    {
        LOG(INFO) << "event=request outcome=" << descriptor_of(kind).name << " attempts=0";
    }
    forwarding_observer::on_early_refusal(kind);
}

} // namespace mangovane
