// Callers that nobody controls: they send heads of very many short lines, and heads, trailers and
// empty lines without end, to one router.
#ifndef MANGOVANE_SOAK_UNCONTROLLED_CALLERS_HPP
#define MANGOVANE_SOAK_UNCONTROLLED_CALLERS_HPP

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace mangovane::soak
{

class uncontrolled_callers
{
public:
    /// Starts the callers, which run on `io` and make a bounded number of connections each.
    uncontrolled_callers(boost::asio::io_context& io, const std::string& address);
    /// Lets each caller end with its connection.
    ~uncontrolled_callers() { *stopping_ = true; }
    uncontrolled_callers(const uncontrolled_callers&) = delete;
    uncontrolled_callers& operator=(const uncontrolled_callers&) = delete;

private:
    using stop_flag = std::shared_ptr<std::atomic<bool>>;

    /// The coroutine owns its parameters, since it may outlive the object.
    static boost::asio::awaitable<void>
    send_all(stop_flag stopping, std::string address, std::size_t caller);

    const stop_flag stopping_{std::make_shared<std::atomic<bool>>(false)};
};

} // namespace mangovane::soak

#endif
