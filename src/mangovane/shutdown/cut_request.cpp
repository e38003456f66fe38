// Text of a cut request.
#include "mangovane/shutdown/cut_request.hpp"

#include <chrono>

#include <absl/strings/str_cat.h>

namespace mangovane
{

milliseconds read_after_stop(time_point read_at, time_point stop_at)
{
    return std::chrono::floor<milliseconds>(read_at - stop_at);
}

std::string log_line(const cut_request& cut)
{
    const auto& endpoint = cut.endpoint.empty() ? std::string{"none"} : cut.endpoint;
    return absl::StrCat("event=request_cut request=", cut.request, " route=", cut.route,
                        " attempts=", cut.attempts, " endpoint=", endpoint, " status=", cut.status,
                        " read_after_ms=", cut.read_after.count(), " ran_ms=", cut.ran.count(),
                        " left_ms=", cut.left.count());
}

} // namespace mangovane
