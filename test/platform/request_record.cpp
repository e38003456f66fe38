// Implementation of the records of requests.
#include "platform/request_record.hpp"

#include <fstream>

#include <absl/strings/str_cat.h>

namespace mangovane::test
{

void run_record::add(const std::string& id)
{
    const std::lock_guard lock{mutex_};
    auto& it = runs_[id];
    it.first_started_at = it.count == 0 ? clock::now() : it.first_started_at;
    ++it.count;
}

run_summary run_record::summary(const std::string& id) const
{
    const std::lock_guard lock{mutex_};
    const auto it = runs_.find(id);
    return it == runs_.end() ? run_summary{} : it->second;
}

std::string log_lines(const router_fleet& fleet, const request_fate& fate)
{
    std::ifstream log{fleet.log_file(fate.router)};
    const auto field = absl::StrCat("request=", fate.id, " ");
    std::string result;
    for (std::string line; std::getline(log, line);)
    {
        result += line.find(field) == std::string::npos ? "" : "  " + line + "\n";
    }
    return result;
}

std::string describe(const router_fleet& fleet, const request_fate& fate, int runs)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(fate.ended_at - fate.sent_at);
    return absl::StrCat(fate.id, " route=", fate.route, " router=", fate.router,
                        " status=", fate.status, " runs=", runs, " ms=", ms.count(),
                        " error=", fate.error, "\n", log_lines(fleet, fate));
}

} // namespace mangovane::test
