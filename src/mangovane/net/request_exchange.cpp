// Carries actions from the coordinator's threads to the session's strand, and events back.
#include "mangovane/net/request_exchange.hpp"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

/// Extra time after the request's deadline to store the outcome of a claim, for late outcomes.
constexpr seconds claim_settle_margin{30};

} // namespace

request_exchange::request_exchange(asio::any_io_executor executor, frontend_services& services)
    : executor_{std::move(executor)}, services_{services},
      action_queued_{executor_, time_point::max()}, wake_timer_{executor_}
{}

void request_exchange::begin(routed_request request)
{
    deadline_ = request.deadline;
    flow_id_ = services_.core.start(std::move(request), shared_from_this(), clock::now());
}

bool request_exchange::report(const flow_event& event)
{
    return services_.core.on_event(flow_id_, event, clock::now());
}

asio::awaitable<session_action> request_exchange::next()
{
    while (actions_.empty())
    {
        boost::system::error_code ec;
        action_queued_.expires_at(time_point::max());
        co_await action_queued_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    auto action = std::move(actions_.front());
    actions_.pop_front();
    co_return action;
}

void request_exchange::close()
{
    closed_ = true;
    wake_timer_.cancel();
}

void request_exchange::push(session_action action)
{
    asio::post(executor_,
               [self = shared_from_this(), action = std::move(action)]() mutable
               {
                   self->actions_.push_back(std::move(action));
                   self->action_queued_.cancel();
               });
}

void request_exchange::claim(const claim_key& action)
{
    services_.claims.claim_key(
        action.wanted, deadline_,
        [self = shared_from_this(), wanted = action.wanted](absl::StatusOr<claim_result> result)
        {
            asio::post(self->executor_, [self, wanted, result = std::move(result)]
                       { self->on_claimed(wanted, result); });
        });
}

void request_exchange::on_claimed(const mangovane::claim& wanted,
                                  const absl::StatusOr<claim_result>& result)
{
    claim_decided event{wanted.attempt, false, !result.ok(), {}};
    if (result.ok())
    {
        event.acquired = result->acquired;
        event.duplicate = result->duplicate;
    }
    if (!report(event) && event.acquired)
    {
        // The request was refused in the meantime: it has not run, so the claim on its key must be
        // released.
        auto released = wanted;
        released.state = claim_state::abandoned;
        services_.claims.settle(std::move(released), clock::now() + claim_settle_margin,
                                [](const absl::Status&) {});
    }
}

void request_exchange::settle(const settle_claim& action)
{
    services_.claims.settle(action.settled, deadline_ + claim_settle_margin,
                            [](const absl::Status&) {});
}

void request_exchange::wake(const wake_at& action)
{
    asio::post(executor_,
               [self = shared_from_this(), action]
               {
                   if (self->closed_ || action.number <= self->last_wake_)
                   {
                       return;
                   }
                   self->last_wake_ = action.number;
                   self->wake_timer_.expires_at(action.at);
                   self->wake_timer_.async_wait(
                       [self](boost::system::error_code ec)
                       {
                           if (!ec && !self->closed_)
                           {
                               self->report(timer_expired{});
                           }
                       });
               });
}

} // namespace mangovane
