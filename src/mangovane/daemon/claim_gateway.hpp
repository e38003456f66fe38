// Gateway from the HTTP front end to the table of idempotency claims.
#ifndef MANGOVANE_DAEMON_CLAIM_GATEWAY_HPP
#define MANGOVANE_DAEMON_CLAIM_GATEWAY_HPP

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
class claim_gateway final : public claim_store
{
public:
    /// All three must outlive the gateway.
    claim_gateway(boost::asio::io_context& io, table_service& table, coordinator& core);

    void claim_key(claim wanted, time_point deadline, claim_writer::claim_handler handler) override;
    void settle(claim settled, time_point deadline, claim_writer::settle_handler handler) override;

    /// Runs due background retries. Call periodically.
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
