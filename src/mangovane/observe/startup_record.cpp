// Implementation of the startup record.
#include "mangovane/observe/startup_record.hpp"

#include <absl/strings/str_cat.h>

#include "mangovane/observe/request_record.hpp"

namespace mangovane
{

namespace
{

absl::string_view text_of(std::string_view it)
{
    return {it.data(), it.size()};
}

std::string outcomes_text(const startup_counts& counts)
{
    std::string result;
    for (const auto& [outcome, n] : counts.unserved)
    {
        absl::StrAppend(&result, result.empty() ? "" : ",", outcome, ":", n);
    }
    return result.empty() ? "none" : result;
}

} // namespace

std::uint32_t startup_counts::unserved_total() const
{
    std::uint32_t result = 0;
    for (const auto& [outcome, n] : unserved)
    {
        result += n;
    }
    return result;
}

startup_record::startup_record(time_point started_at) : started_at_{started_at}
{
    for (auto& it : reached_ms_)
    {
        it = not_reached;
    }
}

milliseconds startup_record::since_start(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(now - started_at_);
}

std::optional<std::string> startup_record::reach(startup_step step, time_point now)
{
    const auto n = static_cast<std::size_t>(step);
    auto& reached_ms = reached_ms_[n];
    const auto ms = since_start(now).count();
    auto before = not_reached;
    if (reached_ms.load() != not_reached || !reached_ms.compare_exchange_strong(before, ms))
    {
        return std::nullopt;
    }
    return absl::StrCat("event=startup_step step=", text_of(startup_step_names[n]), " ms=", ms);
}

void startup_record::count(std::string_view outcome, time_point now)
{
    if (complete_)
    {
        return;
    }
    const auto n = std::chrono::duration_cast<seconds>(since_start(now)).count();
    const std::lock_guard lock{mutex_};
    // A second whose line was written does not change any more.
    if (n < static_cast<std::int64_t>(taken_) || n >= length.count())
    {
        return;
    }
    auto& counts = seconds_[static_cast<std::size_t>(n)];
    if (is_served(outcome))
    {
        ++counts.served;
    }
    else
    {
        ++counts.unserved[std::string{outcome}];
    }
}

std::vector<std::string> startup_record::take_lines(time_point now)
{
    std::vector<std::string> result;
    const auto passed = std::chrono::duration_cast<seconds>(since_start(now)).count();
    const std::lock_guard lock{mutex_};
    if (complete_)
    {
        return result;
    }
    while (taken_ < seconds_.size() && static_cast<std::int64_t>(taken_) < passed)
    {
        const auto& counts = seconds_[taken_];
        if (counts != startup_counts{})
        {
            result.push_back(second_line(counts));
        }
        ++taken_;
    }
    if (taken_ == seconds_.size())
    {
        complete_ = true;
        result.push_back(summary_line());
    }
    return result;
}

std::string startup_record::second_line(const startup_counts& counts) const
{
    return absl::StrCat("event=startup_second second=", taken_, " served=", counts.served,
                        " unserved=", counts.unserved_total(), " outcomes=", outcomes_text(counts));
}

std::string startup_record::summary_line() const
{
    startup_counts all;
    for (const auto& it : seconds_)
    {
        all.served += it.served;
        for (const auto& [outcome, n] : it.unserved)
        {
            all.unserved[outcome] += n;
        }
    }
    std::string result = "event=startup_summary";
    for (std::size_t n = 0; n != startup_step_count; ++n)
    {
        absl::StrAppend(&result, " ", text_of(startup_step_names[n]),
                        "_ms=", reached_ms_[n].load());
    }
    absl::StrAppend(&result, " served=", all.served, " unserved=", all.unserved_total(),
                    " outcomes=", outcomes_text(all));
    return result;
}

} // namespace mangovane
