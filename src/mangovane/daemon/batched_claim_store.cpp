// Implementation of the batched claim store.
#include "mangovane/daemon/batched_claim_store.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

std::uint64_t unix_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

/// Timeout of a call to the table. The request holds a slot meanwhile, so during an outage of the
/// store, requests with an idempotency key would otherwise block the endpoints for all others.
constexpr milliseconds max_claim_wait{2000};

} // namespace

batched_claim_store::batched_claim_store(asio::io_context& io,
                                         table_service& table,
                                         coordinator& core)
    : strand_{asio::make_strand(io)}, timer_{strand_}, core_{core}, batch_{table}
{}

void batched_claim_store::claim_key(claim wanted,
                                    time_point deadline,
                                    claim_writer::claim_handler handler)
{
    wanted.claimed_unix_ms = unix_ms();
    wanted.expires_unix_ms =
        wanted.claimed_unix_ms +
        static_cast<std::uint64_t>(milliseconds{retention_of(wanted.service)}.count());
    const auto now = clock::now();
    ++pending_claims_;
    batch_.claim_key(std::move(wanted), now, std::min(deadline, now + max_claim_wait),
                     [this, handler = std::move(handler)](absl::StatusOr<claim_result> result)
                     {
                         --pending_claims_;
                         handler(std::move(result));
                     });
    asio::post(strand_, [this] { start_timer(); });
}

void batched_claim_store::settle(claim settled,
                                 time_point deadline,
                                 claim_writer::settle_handler handler)
{
    ++pending_claims_;
    batch_.settle(std::move(settled), clock::now(), deadline,
                  [this, handler = std::move(handler)](absl::Status status)
                  {
                      --pending_claims_;
                      handler(std::move(status));
                  });
    asio::post(strand_, [this] { start_timer(); });
}

seconds batched_claim_store::retention_of(service_id service) const
{
    const auto settings = core_.settings().current();
    const auto* policy = settings ? settings->find_service(service) : nullptr;
    return policy == nullptr ? service_policy{}.key_retention : policy->key_retention;
}

void batched_claim_store::start_timer()
{
    if (timer_running_)
    {
        return;
    }
    timer_running_ = true;
    timer_.expires_after(claim_writer::batch_window);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            timer_running_ = false;
            if (ec)
            {
                return;
            }
            batch_.tick(clock::now());
            if (pending_claims_ != 0)
            {
                start_timer();
            }
        });
}

} // namespace mangovane
