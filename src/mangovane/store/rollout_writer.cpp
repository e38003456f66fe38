// Implementation of the rollout writer.
#include "mangovane/store/rollout_writer.hpp"

#include <utility>

namespace mangovane
{

status_decision rollout_writer::decide(const rollout_summary& rollout) const
{
    if (!rows_)
    {
        return {};
    }
    const auto& [listing, read_at] = *rows_;
    const auto found = listing.services.find(rollout.order.service_name);
    const auto rows = found == listing.services.end() ? rollout_rows{} : found->second;
    return decide_status(rollout, rows, {listing.now, read_at});
}

void rollout_writer::tick(time_point now, std::uint64_t era)
{
    const auto rollouts = registry_.summaries();
    const std::lock_guard lock{mutex_};
    if (calling_ || rollouts.empty())
    {
        return;
    }
    if (era > era_)
    {
        era_ = era;
        rows_.reset();
        next_read_ = now;
    }
    bool running = false;
    for (const auto& it : rollouts)
    {
        const auto decision = decide(it);
        if (decision.stored)
        {
            registry_.on_stored(it.order.service, it.order.revision, *decision.stored,
                                decision.deadline, now);
        }
        if (decision.write && now > rows_->read_at + max_rows_age)
        {
            // The rows were read for an earlier order. A deadline that is counted from that read
            // would lie in the past.
            rows_.reset();
            read(now);
            return;
        }
        if (decision.write)
        {
            write(*decision.write, now);
            return;
        }
        running = running || !decision.stored || *decision.stored == rollout_state::running;
    }
    if (running && now >= next_read_)
    {
        read(now);
    }
}

void rollout_writer::read(time_point now)
{
    calling_ = true;
    next_read_ = now + read_period;
    table_.read(now + call_timeout, [this](absl::StatusOr<rollout_listing> response)
                { on_listing(std::move(response)); });
}

void rollout_writer::on_listing(absl::StatusOr<rollout_listing> response)
{
    const auto now = clock::now();
    const std::lock_guard lock{mutex_};
    calling_ = false;
    if (!response.ok())
    {
        rows_.reset();
        next_read_ = now + retry_period;
        return;
    }
    rows_ = stored_rows{std::move(*response), now};
}

void rollout_writer::write(const rollout_write& rows, time_point now)
{
    calling_ = true;
    table_.write(rows, now + call_timeout,
                 [this](const absl::Status& status) { on_written(status); });
}

void rollout_writer::on_written(const absl::Status& status)
{
    const bool resolved = status.ok() || absl::IsFailedPrecondition(status);
    const auto wait = resolved ? milliseconds{0} : retry_period;
    const std::lock_guard lock{mutex_};
    calling_ = false;
    // Whatever the response, only the rows tell what is stored.
    rows_.reset();
    next_read_ = clock::now() + wait;
}

} // namespace mangovane
