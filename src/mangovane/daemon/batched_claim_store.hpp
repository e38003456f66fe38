// Stores the HTTP front end's idempotency claims in the platform's table, in batches.
#ifndef MANGOVANE_DAEMON_BATCHED_CLAIM_STORE_HPP
#define MANGOVANE_DAEMON_BATCHED_CLAIM_STORE_HPP

#include <atomic>
#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "mangovane/net/frontend_services.hpp"
#include "mangovane/store/table_service.hpp"

namespace mangovane
{

/// Writes claims in batches, on a timer that runs only while claims are pending.
class batched_claim_store final : public claim_store
{
public:
    /// All three must outlive the store.
    batched_claim_store(boost::asio::io_context& io, table_service& table, coordinator& core);

    void claim_key(claim wanted, time_point deadline, claim_writer::claim_handler handler) override;
    void settle(claim settled, time_point deadline, claim_writer::settle_handler handler) override;

    /// Sends pending writes and reads that are due. Call periodically: the timer runs only while
    /// a claim or its settlement has no result.
    void tick() { batch_.tick(clock::now()); }

private:
    void start_timer();
    [[nodiscard]] seconds retention_of(service_id service) const;

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_; ///< Used only on the strand.
    coordinator& core_;
    claim_writer batch_;
    std::atomic<std::uint32_t> pending_claims_{0};
    bool timer_running_{false}; ///< Used only on the strand.
};

} // namespace mangovane

#endif
