// Implementation of the texts of store rows.
#include "platform/store_text.hpp"

#include <absl/strings/str_cat.h>

namespace mangovane::test
{

namespace
{

std::string long_routes(milliseconds timeout)
{
    if (timeout.count() == 0)
    {
        return {};
    }
    return absl::StrCat(
        R"({"name":"ledger","host":"desk.example","prefix":"/ledger/","type":"unsafe","timeout_ms":)",
        timeout.count(), R"(,"goal_ms":)", timeout.count(),
        R"(,"service":"ventanilla","max_attempts":1},
{"name":"minutes","host":"desk.example","prefix":"/minutes/","type":"streaming","timeout_ms":)",
        timeout.count(),
        R"(,"goal_ms":1000,"priority":1,"service":"dictamen","max_attempts":1,"sticky":true,
 "gap_goal_ms":600},)");
}

} // namespace

std::string configuration_text(const config_params& params)
{
    std::string added;
    for (auto n = params.first_added; n <= params.version; ++n)
    {
        absl::StrAppend(&added, R"({"name":"v)", n, R"(","host":"desk.example","prefix":"/v)", n,
                        R"(/","type":"idempotent","timeout_ms":800,"goal_ms":300,)",
                        R"("service":"ventanilla","max_attempts":2},)");
    }
    const auto stream_timeout = params.stream_timeout.count();
    const auto call_timeout = params.call_timeout.count();
    added += long_routes(params.long_timeout);
    return absl::StrCat(R"({"version":)", params.version, R"(,"routes":[)", added, R"(
{"name":"review","host":"desk.example","prefix":"/review/","type":"streaming","timeout_ms":)",
                        stream_timeout, R"(,
 "goal_ms":1000,"priority":1,"service":"dictamen","max_attempts":1,"sticky":true,"gap_goal_ms":600},
{"name":"rights","host":"desk.example","prefix":"/rights/","type":"streaming","timeout_ms":)",
                        stream_timeout, R"(,
 "goal_ms":500,"priority":0,"service":"dictamen","max_attempts":2,"sticky":true,"resumable":true,
 "gap_goal_ms":600},
{"name":"grant","host":"desk.example","prefix":"/grant/","type":"unsafe","timeout_ms":)",
                        call_timeout, R"(,
 "goal_ms":300,"service":"ventanilla","max_attempts":1},
{"name":"status","host":"desk.example","prefix":"/status/","type":"idempotent","timeout_ms":)",
                        call_timeout, R"(,
 "goal_ms":300,"service":"ventanilla","max_attempts":2}],
"services":[{"name":"dictamen","warmup_s":)",
                        params.cold_time.count(), R"(,"warmup_per_s":)", params.cold_rate,
                        R"(,"engine":{}},
 {"name":"ventanilla","warmup_s":0.0,"warmup_per_s":0.0}],
"limits":{"max_header_bytes":)",
                        params.header_bytes, R"(,"max_body_bytes":)", params.body_bytes,
                        R"(,"header_timeout_ms":)", params.header_timeout.count(),
                        R"(,"idle_timeout_ms":5000},
"tenants":[{"name":"desk","api_keys":["key-1"]}]})");
}

std::string entry_text(const entry_params& params)
{
    return absl::StrCat(R"({"service":")", params.service, R"(","address":")", params.address,
                        R"(","zone":")", params.domain, R"(","version":"v1","slots":8,"state":")",
                        params.state, R"(","warmup_left_ms":)", params.cold_left.count(),
                        R"(,"sequence":1})");
}

} // namespace mangovane::test
