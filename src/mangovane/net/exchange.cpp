// Implementation of the exchange.
#include "mangovane/net/exchange.hpp"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

/// Time to store the end of a claim after the request's deadline, for outcomes that came late.
constexpr seconds settle_time{30};

} // namespace

exchange::exchange(asio::any_io_executor executor, frontend_services& services)
    : executor_{std::move(executor)}, services_{services}, signal_{executor_, time_point::max()},
      alarm_{executor_}
{}

void exchange::begin(routed_request request)
{
    deadline_ = request.deadline;
    number_ = services_.core.start(std::move(request), shared_from_this(), clock::now());
}

bool exchange::report(const flow_event& event)
{
    return services_.core.on_event(number_, event, clock::now());
}

asio::awaitable<session_action> exchange::next()
{
    while (actions_.empty())
    {
        boost::system::error_code ec;
        signal_.expires_at(time_point::max());
        co_await signal_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    auto action = std::move(actions_.front());
    actions_.pop_front();
    co_return action;
}

void exchange::close()
{
    closed_ = true;
    alarm_.cancel();
}

void exchange::push(session_action action)
{
    asio::post(executor_,
               [self = shared_from_this(), action = std::move(action)]() mutable
               {
                   self->actions_.push_back(std::move(action));
                   self->signal_.cancel();
               });
}

void exchange::claim(const claim_key& action)
{
    services_.claims.claim_key(
        action.wanted, deadline_,
        [self = shared_from_this(), wanted = action.wanted](absl::StatusOr<claim_result> result)
        {
            asio::post(self->executor_, [self, wanted, result = std::move(result)]
                       { self->on_claimed(wanted, result); });
        });
}

void exchange::on_claimed(const mangovane::claim& wanted,
                          const absl::StatusOr<claim_result>& result)
{
    claim_decided event{wanted.attempt, false, !result.ok(), {}};
    if (result.ok())
    {
        event.won = result->won;
        event.repeated = result->repeated;
    }
    if (!report(event) && event.won)
    {
        // The request was refused meanwhile: the call did not run, and the key must not stay
        // claimed.
        auto given_up = wanted;
        given_up.state = claim_state::abandoned;
        services_.claims.settle(std::move(given_up), clock::now() + settle_time,
                                [](const absl::Status&) {});
    }
}

void exchange::settle(const settle_claim& action)
{
    services_.claims.settle(action.settled, deadline_ + settle_time, [](const absl::Status&) {});
}

void exchange::wake(const wake_at& action)
{
    asio::post(executor_,
               [self = shared_from_this(), at = action.at]
               {
                   if (self->closed_)
                   {
                       return;
                   }
                   self->alarm_.expires_at(at);
                   self->alarm_.async_wait(
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
