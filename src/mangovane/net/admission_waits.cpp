// Implementation of the waits for admission.
#include "mangovane/net/admission_waits.hpp"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "mangovane/forward/forward_core.hpp"

namespace mangovane
{

namespace asio = boost::asio;

admission_waits::admission_waits(asio::io_context& io, forward_core& core)
    : core_{core}, timer_{asio::make_strand(io)}
{}

void admission_waits::end(const std::shared_ptr<admission_wait>& wait,
                          const admission_decision& decision)
{
    asio::post(wait->timer.get_executor(),
               [wait, decision]
               {
                   wait->decision = decision;
                   wait->timer.cancel();
               });
}

void admission_waits::add(std::uint64_t ticket, std::shared_ptr<admission_wait> wait)
{
    const std::lock_guard lock{mutex_};
    if (const auto it = early_.find(ticket); it != early_.end())
    {
        end(wait, it->second.decision);
        early_.erase(it);
        return;
    }
    waits_.emplace(ticket, std::move(wait));
    if (!std::exchange(running_, true))
    {
        asio::post(timer_.get_executor(), [this] { start_timer(); });
    }
}

void admission_waits::remove(std::uint64_t ticket)
{
    const std::lock_guard lock{mutex_};
    waits_.erase(ticket);
    early_.erase(ticket);
}

void admission_waits::start_timer()
{
    timer_.expires_after(release_period);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
            {
                on_timer();
            }
        });
}

void admission_waits::on_timer()
{
    const auto now = clock::now();
    for (const auto& it : core_.release_waiting(now))
    {
        deliver(it.ticket, it.decision, now);
    }
    {
        const std::lock_guard lock{mutex_};
        absl::erase_if(early_, [&](const auto& it) { return now > it.second.at + early_ttl; });
        running_ = !waits_.empty();
        if (!running_)
        {
            return;
        }
    }
    start_timer();
}

void admission_waits::deliver(std::uint64_t ticket,
                              const admission_decision& decision,
                              time_point now)
{
    const std::lock_guard lock{mutex_};
    const auto it = waits_.find(ticket);
    if (it == waits_.end())
    {
        early_.emplace(ticket, early_outcome{decision, now});
        return;
    }
    end(it->second, decision);
    waits_.erase(it);
}

} // namespace mangovane
