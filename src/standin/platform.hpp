// Stand-in for the platform: table, objects and instance list (docs/platform-protocol.md), with
// injected faults.
#ifndef MANGOVANE_STANDIN_PLATFORM_HPP
#define MANGOVANE_STANDIN_PLATFORM_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/store/table_service.hpp"
#include "standin/http_host.hpp"

namespace mangovane::standin
{

/// Faults, changed by `POST /fault` with a JSON object that uses the names of the members.
struct platform_faults
{
    bool down{false};         ///< Connections are reset.
    bool lose_answers{false}; ///< A write is applied, then its connection is reset.
    bool stale_list{false};   ///< Reads of the list return its state when the fault was set.
    std::uint32_t slow_ms{0}; ///< Delay before a call is applied.
    std::uint32_t max_writes_per_s{0}; ///< Further writes get 429; 0: no limit.
    std::uint32_t max_reads_per_s{0};

    auto operator<=>(const platform_faults&) const = default;
};

/// Counters since the start.
struct platform_stats
{
    std::uint64_t reads{0};  ///< Of rows, objects and the list.
    std::uint64_t writes{0}; ///< Transactions and objects.
    std::uint64_t rows_written{0};
    std::uint64_t conflicts{0}; ///< Writes whose expected revision did not match.
    std::uint64_t rejected{0};  ///< Calls over a rate limit.
    std::uint64_t lost_answers{0};

    auto operator<=>(const platform_stats&) const = default;
};

/// Rate limiter with fixed windows of one second.
class rate_window
{
public:
    /// Counts a call and returns true if it is within the limit; 0: no limit.
    [[nodiscard]] bool allow(std::uint32_t limit, time_point now);

private:
    time_point start_;
    std::uint32_t count_{0};
};

class platform
{
public:
    platform();

    boost::asio::awaitable<void> handle(const request& req, reply& rep);

private:
    using action = void (platform::*)(const request& req, std::string rest);
    struct route;

    struct response
    {
        unsigned status{200};
        std::string body;
    };

    void read_row(const request& req, std::string key);
    void write_rows(const request& req, std::string rest);
    void get_object(const request& req, std::string name);
    void put_object(const request& req, std::string name);
    void get_list(const request& req, std::string rest);
    void put_list(const request& req, std::string rest);
    void get_stats(const request& req, std::string rest);
    void change_fault(const request& req, std::string rest);

    [[nodiscard]] write_result apply(const table_write& write);
    [[nodiscard]] bool admit(const route& to);

    platform_faults faults_;
    platform_stats stats_;
    rate_window reads_;
    rate_window writes_;
    response response_; ///< Response of the last action; actions do not suspend.
    absl::flat_hash_map<std::string, table_row> rows_;
    absl::flat_hash_map<std::string, std::string> objects_;
    std::string list_;       ///< JSON text.
    std::string stale_list_; ///< Returned while the fault `stale_list` is set.
};

} // namespace mangovane::standin

#endif
