// Implementation of the counts of admission.
#include "mangovane/admission/admission_statistics.hpp"

#include <absl/strings/str_cat.h>

namespace mangovane
{

void admission_statistics::on_wait()
{
    const std::lock_guard lock{mutex_};
    ++waits_;
}

void admission_statistics::on_wait_end(milliseconds waited)
{
    const std::lock_guard lock{mutex_};
    wait_times_.add(waited);
}

void admission_statistics::on_refusal(admission_reason reason)
{
    const std::lock_guard lock{mutex_};
    ++refusals_[static_cast<std::size_t>(reason)];
}

std::string admission_statistics::text(std::size_t waiting) const
{
    const std::lock_guard lock{mutex_};
    std::string result = absl::StrCat("mangovane_admission_waiting ", waiting,
                                      "\nmangovane_admission_waits_total ", waits_, "\n");
    for (const auto reason : admission_refusal_reasons)
    {
        const auto name = name_of(reason);
        absl::StrAppend(&result, "mangovane_admission_refusals_total{reason=\"",
                        absl::string_view{name.data(), name.size()}, "\"} ",
                        refusals_[static_cast<std::size_t>(reason)], "\n");
    }
    wait_times_.append_text("mangovane_admission_wait_seconds", "", result);
    return result;
}

} // namespace mangovane
