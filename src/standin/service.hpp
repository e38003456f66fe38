// Stand-in for a plain service such as a ledger of pledges: counts the runs of each call.
#ifndef MANGOVANE_STANDIN_SERVICE_HPP
#define MANGOVANE_STANDIN_SERVICE_HPP

#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "mangovane/core/id.hpp"
#include "standin/http_host.hpp"

namespace mangovane::standin
{

/// Faults, changed by `POST /fault` with a JSON object that uses the names of the members.
struct service_faults
{
    bool down{false};         ///< Connections are reset before the call runs.
    bool cut{false};          ///< Connections are reset after the call ran, before the response.
    bool refuse{false};       ///< Responds 503 without running the call.
    bool leaving{false};      ///< Reported in the load report.
    std::uint32_t slow_ms{0}; ///< Delay of each response.

    auto operator<=>(const service_faults&) const = default;
};

class service
{
public:
    service();

    boost::asio::awaitable<void> handle(const request& req, reply& rep);

private:
    boost::asio::awaitable<void> serve_call(const request& req, reply& rep);
    [[nodiscard]] bool change_fault(const std::string& text);
    [[nodiscard]] std::string run(const std::string& body);
    [[nodiscard]] std::string load_text() const;
    [[nodiscard]] std::string runs_text() const;

    service_faults faults_;
    incarnation epoch_;
    std::uint32_t in_flight_{0};
    std::map<std::string, std::uint64_t> runs_; ///< By the field `id` of the body.
};

} // namespace mangovane::standin

#endif
