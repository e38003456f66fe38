// Client of the platform's services over HTTP/1.1 (docs/platform-protocol.md), on a small pool of
// keep-alive connections. A failed call is reported and never retried here: only the caller knows
// whether a retry is safe.
#ifndef MANGOVANE_STORE_HTTP_PLATFORM_HPP
#define MANGOVANE_STORE_HTTP_PLATFORM_HPP

#include <memory>
#include <string>

#include "mangovane/store/table_service.hpp"

namespace boost::asio
{
class io_context;
}

namespace mangovane
{

class http_pool;

/// Client of the generic platform, which offers a table, objects and a discovery list over HTTP.
/// The store of the users' platform has another protocol, see `table_reader`.
/// Errors: `kDeadlineExceeded`; `kUnavailable` for network failures and 5xx; `kResourceExhausted`
/// for 429 and when too many calls are queued; `kNotFound`; `kInvalidArgument` for other 4xx;
/// `kDataLoss` for a malformed response. Handlers run on the context, concurrently if several
/// threads run it.
class http_platform final : public table_service, public object_store, public discovery_service
{
public:
    explicit http_platform(std::shared_ptr<http_pool> pool);
    ~http_platform() override;

    void read(std::string key, time_point deadline, read_handler handler) override;
    void
    write(std::vector<table_write> writes, time_point deadline, write_handler handler) override;
    void get(std::string name, time_point deadline, get_handler handler) override;
    void
    put(std::string name, std::string content, time_point deadline, put_handler handler) override;
    void fetch(time_point deadline, handler handler) override;

private:
    std::shared_ptr<http_pool> pool_; ///< Kept alive by calls in flight.
};

/// `address` is `ip:port`; if it is malformed, every call fails with `kInvalidArgument`.
[[nodiscard]] std::unique_ptr<http_platform> make_http_platform(boost::asio::io_context& io,
                                                                std::string address);

} // namespace mangovane

#endif
