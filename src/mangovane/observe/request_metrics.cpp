// Implementation of the request metrics.
#include "mangovane/observe/request_metrics.hpp"

#include <absl/strings/str_cat.h>

namespace mangovane
{

namespace
{

std::string to_std(std::string_view text)
{
    return std::string{text};
}

} // namespace

const std::array<request_metrics::named_histogram, 3> request_metrics::histogram_table{
    {{"mangovane_request_seconds", &request_histograms::total},
     {"mangovane_queue_wait_seconds", &request_histograms::queue_wait},
     {"mangovane_first_token_seconds", &request_histograms::first_token}}};

request_metrics::request_metrics(std::size_t labels) : labels_{labels} {}

void request_metrics::on_request_end(const request_record& record)
{
    const auto add = [&](class_histograms& to)
    {
        auto& histograms = to[static_cast<std::size_t>(record.priority)];
        histograms.total.add(record.total);
        histograms.queue_wait.add(record.queue_wait);
        if (record.first_token != milliseconds{0})
        {
            histograms.first_token.add(record.first_token);
        }
    };
    const std::lock_guard lock{mutex_};
    ++outcomes_[record.outcome];
    if (record.has_affinity && record.attempts != 0)
    {
        ++affinity_requests_;
        affinity_kept_ += record.affinity_kept ? 1 : 0;
    }
    add(all_);
    add(labels_.count(record.account, record.account_name) ? accounts_[record.account] : other_);
}

void request_metrics::on_failed_attempt(std::string_view result)
{
    const std::lock_guard lock{mutex_};
    ++failed_attempts_[to_std(result)];
}

void request_metrics::on_session_end(std::string_view reason)
{
    const std::lock_guard lock{mutex_};
    ++session_ends_[to_std(reason)];
}

void request_metrics::rotate_labels()
{
    const std::lock_guard lock{mutex_};
    for (const auto account : labels_.rotate())
    {
        const auto it = accounts_.find(account);
        if (it == accounts_.end())
        {
            continue;
        }
        for (std::size_t n = 0; n != request_class_count; ++n)
        {
            for (const auto& row : histogram_table)
            {
                (other_[n].*row.member).merge(it->second[n].*row.member);
            }
        }
        accounts_.erase(it);
    }
}

void request_metrics::append_histograms(std::string& out,
                                        const std::string& account,
                                        const class_histograms& histograms) const
{
    for (std::size_t n = 0; n != request_class_count; ++n)
    {
        const auto priority = to_std(to_string(static_cast<request_class>(n)));
        const auto labels =
            account.empty() ? absl::StrCat("class=\"", priority, "\"")
                            : absl::StrCat("account=\"", account, "\",class=\"", priority, "\"");
        for (const auto& row : histogram_table)
        {
            const auto& it = histograms[n].*row.member;
            if (it.count() != 0)
            {
                it.append_text(row.name, labels, out);
            }
        }
    }
}

void request_metrics::append_counters(std::string& out) const
{
    for (const auto& [outcome, n] : outcomes_)
    {
        absl::StrAppend(&out, "mangovane_requests_total{outcome=\"", outcome, "\"} ", n, "\n");
    }
    for (const auto& [result, n] : failed_attempts_)
    {
        absl::StrAppend(&out, "mangovane_failed_attempts_total{result=\"", result, "\"} ", n, "\n");
    }
    for (const auto& [reason, n] : session_ends_)
    {
        absl::StrAppend(&out, "mangovane_session_ends_total{reason=\"", reason, "\"} ", n, "\n");
    }
    absl::StrAppend(&out, "mangovane_dropped_answers_total ", dropped_answers_.load(), "\n");
    absl::StrAppend(&out, "mangovane_caller_stalls_total ", caller_stalls_.load(), "\n");
    absl::StrAppend(&out, "mangovane_affinity_requests_total ", affinity_requests_, "\n");
    absl::StrAppend(&out, "mangovane_affinity_kept_total ", affinity_kept_, "\n");
    for (const auto& it : error_descriptors())
    {
        const auto n = early_refusals_[static_cast<std::size_t>(it.kind)].load();
        if (n != 0)
        {
            absl::StrAppend(&out, "mangovane_early_refusals_total{kind=\"", to_std(it.name), "\"} ",
                            n, "\n");
        }
    }
}

std::string request_metrics::text(bool with_accounts) const
{
    std::string out;
    const std::lock_guard lock{mutex_};
    append_counters(out);
    if (!with_accounts)
    {
        append_histograms(out, {}, all_);
        return out;
    }
    for (const auto& [account, histograms] : accounts_)
    {
        append_histograms(out, labels_.name_of(account), histograms);
    }
    append_histograms(out, "other", other_);
    return out;
}

} // namespace mangovane
