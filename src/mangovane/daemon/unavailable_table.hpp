// Table service for static mode, in which there is no platform.
#ifndef MANGOVANE_DAEMON_UNAVAILABLE_TABLE_HPP
#define MANGOVANE_DAEMON_UNAVAILABLE_TABLE_HPP

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "mangovane/store/table_service.hpp"

namespace mangovane
{

/// Every call fails with Unavailable, so that requests with an idempotency key are refused.
class unavailable_table final : public table_service
{
public:
    explicit unavailable_table(boost::asio::io_context& io) : io_{io} {}

    void read(std::string, time_point, read_handler handler) override { fail(std::move(handler)); }

    void write(std::vector<table_write>, time_point, write_handler handler) override
    {
        fail(std::move(handler));
    }

private:
    template <class Handler>
    void fail(Handler handler)
    {
        boost::asio::post(io_, [handler = std::move(handler)]
                          { handler(absl::UnavailableError("no platform is configured")); });
    }

    boost::asio::io_context& io_;
};

} // namespace mangovane

#endif
