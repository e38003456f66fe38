// Effective settings as the decisions use them: what the tree says after inheritance.
#ifndef MANGOVANE_SETTINGS_POLICY_HPP
#define MANGOVANE_SETTINGS_POLICY_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/core/request_class.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

enum class service_kind : std::uint8_t
{
    model, ///< Model engines: chats, prefixes, streams.
    plain, ///< Plain services: some of their calls may not be repeated.
};

/// Fleet-wide settings of one service.
struct service_policy
{
    service_id id;
    std::string name;
    service_kind kind{service_kind::model};
    std::vector<model_id> models; ///< Models that the service offers; empty for a plain service.

    double load_bound{1.25};          ///< Multiple of the mean load; at least 1.
    std::uint32_t min_slots{2};       ///< Slots at any load.
    std::uint32_t max_in_flight{256}; ///< Slots of an endpoint at most.
    bool new_chat_headroom{true};     ///< New chats are admitted up to the mean only.
    std::uint32_t sample_size{6}; ///< Endpoints whose load is asked before a new chat is placed.
    milliseconds warm_wait{500};  ///< Longest wait of a returning chat for its warm endpoint.

    std::uint32_t ramp_start{1};
    milliseconds ramp_step{2000};
    milliseconds cold_first_token{0}; ///< A later first token counts as overload; 0: never.

    std::uint32_t queue_per_endpoint{128};
    std::uint32_t queue_per_account{64};
    std::array<std::uint32_t, request_class_count> class_shares{70, 20, 10}; ///< Percent.

    double retry_ratio{0.1}; ///< Retries earned by a request.
    bool key_required{false};
    seconds key_retention{86400};
    bool checks_fencing{
        false}; ///< The service's endpoints refuse orders with an old fencing number.

    double cold_requests_per_s{0}; ///< What a cold endpoint bears, over all instances; 0: no limit.
    milliseconds cold_time{0};     ///< For how long an endpoint is cold after its start.

    bool operator==(const service_policy&) const = default;
};

/// Rate and concurrency of one settings node; 0 means no limit.
struct limit_rule
{
    node_id node;
    std::string path;
    double rate_per_s{0};
    std::uint32_t burst{0};
    std::uint32_t concurrency{0};

    bool operator==(const limit_rule&) const = default;
};

/// Effective settings of one client account.
struct account_policy
{
    account_id id;
    std::string name;
    std::string path; ///< Path of the account's node in the tree.
    request_class default_class{request_class::standard};
    request_class highest_class{request_class::interactive};
    std::uint16_t weight{1};
    std::vector<service_id> services;    ///< Services the account may call; empty: all.
    std::vector<model_id> models;        ///< Models the account may use; empty: all.
    std::vector<domain_id> domains;      ///< Failure domains that may serve it; empty: all.
    std::vector<limit_rule> limits;      ///< From the account's node to the root.
    milliseconds default_deadline{0};    ///< For requests that name none; 0: they are refused.
    std::optional<std::uint8_t> urgency; ///< Goes before the route's; 0 is the most urgent.

    bool operator==(const account_policy&) const = default;
};

/// What a caller may send, and how long it may take.
struct http_limits
{
    std::uint32_t header_bytes{16U * 1024};
    std::uint64_t body_bytes{8ULL * 1024 * 1024};
    milliseconds header_timeout{10000}; ///< From the first byte of a request to its last.
    milliseconds idle_timeout{60000};   ///< Between two requests of a connection.

    auto operator<=>(const http_limits&) const = default;
};

} // namespace mangovane

#endif
