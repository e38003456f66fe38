// Implementation of the listener group.
#include "mangovane/daemon/listener_group.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace mangovane
{

namespace
{

/// Period in which an address that is still not available is logged.
constexpr seconds log_period{5};

} // namespace

listener_group::listener_group(boost::asio::io_context& io, logger log)
    : timer_{boost::asio::make_strand(io)}, log_{std::move(log)}
{}

void listener_group::add(listener it)
{
    if (!it.address.empty())
    {
        pending_.push_back({std::move(it)});
    }
}

void listener_group::open(open_handler on_open, failure_handler on_failure)
{
    on_open_ = std::move(on_open);
    on_failure_ = std::move(on_failure);
    give_up_at_ = clock::now() + give_up_after;
    try_all();
}

void listener_group::stop()
{
    boost::asio::post(timer_.get_executor(), [this] { end(); });
}

void listener_group::end()
{
    pending_.clear();
    on_open_ = nullptr;
    timer_.cancel();
}

void listener_group::try_all()
{
    const auto now = clock::now();
    std::erase_if(pending_, [&](pending_listener& it) { return try_one(it, now); });
    if (!failure_.ok())
    {
        end();
        on_failure_(failure_);
        return;
    }
    if (on_open_ && !is_required_pending())
    {
        std::exchange(on_open_, nullptr)();
    }
    if (!pending_.empty())
    {
        schedule_retry();
    }
}

bool listener_group::try_one(pending_listener& entry, time_point now)
{
    const auto& it = entry.it;
    const auto status = it.open();
    if (status.ok())
    {
        return true;
    }
    if (now >= entry.next_log_at)
    {
        entry.next_log_at = now + log_period;
        log_(absl::StrCat("event=listen_failed listener=", it.name, " reason=\"", status.message(),
                          "\""));
    }
    if (absl::IsUnavailable(status) && (!it.required || now < give_up_at_))
    {
        return false;
    }
    if (it.required)
    {
        failure_.Update(status);
    }
    return true;
}

bool listener_group::is_required_pending() const
{
    return std::any_of(pending_.begin(), pending_.end(),
                       [](const pending_listener& it) { return it.it.required; });
}

void listener_group::schedule_retry()
{
    timer_.expires_after(retry_period);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
            {
                try_all();
            }
        });
}

} // namespace mangovane
