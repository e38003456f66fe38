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
      action_queued_{executor_, time_point::max()}, wake_deadline_{executor_}
{}

void request_exchange::begin(routed_request request)
{
    deadline_ = request.deadline;
    flow_id_ = services_.core.start(std::move(request), shared_from_this(), clock::now());
}

bool request_exchange::report(const flow_event& event)
{
    const auto* ended = std::get_if<attempt_ended>(&event);
    if (ended != nullptr && running_attempt_ == ended->attempt)
    {
        running_attempt_.reset();
    }
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
    wake_deadline_.stop();
}

void request_exchange::push(session_action action)
{
    asio::post(executor_, [self = shared_from_this(), action = std::move(action)]() mutable
               { self->add(std::move(action)); });
}

void request_exchange::add(session_action action)
{
    if (const auto* sent = std::get_if<send_attempt>(&action))
    {
        running_attempt_ = sent->attempt;
    }
    actions_.push_back(std::move(action));
    action_queued_.cancel();
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
                   // An attempt has a deadline of its own, which looks at its socket before it
                   // is believed. This timer ends a request only if the attempt goes on after that.
                   self->wake_deadline_.start(
                       action.at, [self] { return self->running_attempt_.has_value(); },
                       [self] { self->report(timer_expired{}); });
               });
}

} // namespace mangovane
