// Session of a caller on routes: waits for admission to a service without room.
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/net/forward_session.hpp"

namespace mangovane
{

namespace asio = boost::asio;

asio::awaitable<forward_step> forward_session::await_turn(const wait_step& step)
{
    auto& flow = *current_->flow;
    log_wait(step);
    const auto wait = std::make_shared<admission_wait>(socket_.get_executor());
    wait_ = wait;
    if (services_.waits)
    {
        services_.waits->add(step.ticket, wait);
    }
    error_code ec;
    while (!wait->decision && !caller_disconnected_ && !flow.stopping() &&
           clock::now() < step.until)
    {
        wait->timer.expires_at(step.until);
        co_await wait->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    const auto now = clock::now();
    forward_step next;
    if (wait->decision && !caller_disconnected_)
    {
        next = flow.on_admission(*wait->decision, now);
    }
    else
    {
        next = flow.on_wait_over(caller_disconnected_, now);
    }
    leave_wait();
    co_return next;
}

void forward_session::leave_wait()
{
    if (std::exchange(wait_, nullptr) && services_.waits)
    {
        services_.waits->remove(current_->flow->admission().ticket);
    }
}

void forward_session::wake() const
{
    if (wait_)
    {
        wait_->timer.cancel();
    }
}

std::string forward_session::admission_text() const
{
    const auto& request = current_->flow->request();
    const auto& answer = current_->flow->admission();
    const auto* service = request.settings->find_service(request.service);
    const auto age = std::chrono::duration_cast<milliseconds>(answer.age);
    return absl::StrCat(" request=", request.request,
                        " service=", service == nullptr ? std::string{} : service->name,
                        " urgency=", static_cast<unsigned>(request.urgency),
                        " place=", answer.place, " room=", answer.free, " age_ms=", age.count());
}

void forward_session::log_wait(const wait_step& step) const
{
    const auto now = clock::now();
    services_.log.write(absl::StrCat("event=admission verdict=wait reason=no_room",
                                     admission_text(), " until_ms=", remaining_ms(step.until, now)),
                        now);
}

void forward_session::log_admission_refusal(const refuse_step& step) const
{
    if (step.admission == admission_reason::none)
    {
        return;
    }
    const auto now = clock::now();
    const auto reason = name_of(step.admission);
    const auto waited = elapsed_ms(current_->flow->request().accepted_at, now);
    services_.log.write(absl::StrCat("event=admission verdict=refuse reason=",
                                     absl::string_view{reason.data(), reason.size()},
                                     admission_text(), " waited_ms=", waited,
                                     " retry_ms=", step.retry_after.count()),
                        now);
}

} // namespace mangovane
