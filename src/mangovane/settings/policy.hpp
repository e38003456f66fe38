// Effective settings of services and accounts, after inheritance in the tree.
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
    model, ///< Served by model engines: chats, prompt prefixes and streams.
    plain, ///< Any other service; some of its requests are not idempotent.
};

/// Fleet-wide settings of one service.
struct service_policy
{
    service_id id;
    std::string name;
    service_kind kind{service_kind::model};
    std::vector<model_id> models; ///< Models that the service offers; empty for a plain service.

    /// Limit of an endpoint's load as a multiple of the mean load; at least 1.
    double load_bound{1.25};
    std::uint32_t min_slots{2};       ///< Slots that an endpoint always has, at any mean load.
    std::uint32_t max_in_flight{256}; ///< Maximum slots of an endpoint.
    /// New chats are admitted only up to the mean load, so that the slots between it and the load
    /// bound remain for returning chats.
    bool new_chat_headroom{true};
    std::uint32_t sample_size{6}; ///< Endpoints whose load is queried to place a new chat.
    milliseconds warm_wait{500};  ///< Maximum wait of a returning chat for its warm endpoint.

    std::uint32_t ramp_start{1};      ///< Initial slots of a cold endpoint.
    milliseconds ramp_step{2000};     ///< Interval at which the slots of a cold endpoint double.
    milliseconds cold_first_token{0}; ///< A later first token counts as overload; 0: never.

    std::uint32_t queue_per_endpoint{128}; ///< Maximum queued requests of an endpoint.
    /// Maximum queued requests of one account at one endpoint.
    std::uint32_t queue_per_account{64};
    std::array<std::uint32_t, request_class_count> class_shares{70, 20, 10}; ///< Percent.

    double retry_ratio{0.1};      ///< Retries added to the retry budget by each request.
    bool key_required{false};     ///< Non-idempotent requests must carry an idempotency key.
    seconds key_retention{86400}; ///< How long an idempotency key stays claimed.
    bool checks_fencing{false};   ///< The endpoints reject requests with an old fencing number.

    /// Rate that a cold endpoint accepts from all instances together; 0: no limit.
    double cold_requests_per_s{0};
    milliseconds cold_time{0};       ///< How long an endpoint counts as cold after its start.
    std::uint64_t token_capacity{0}; ///< Tokens that an endpoint can hold; 0: unknown.

    bool operator==(const service_policy&) const = default;
};

/// Rate and concurrency limits of one settings node; 0 means no limit.
struct limit_rule
{
    node_id node;
    std::string path;
    double rate_per_s{0};         ///< Requests per second of the node and all nodes below it.
    std::uint32_t burst{0};       ///< Requests.
    std::uint32_t concurrency{0}; ///< Requests in flight of the node and all nodes below it.

    bool operator==(const limit_rule&) const = default;
};

/// Effective settings of one client account.
struct account_policy
{
    account_id id;
    std::string name;
    std::string path; ///< Path of the account's node in the settings tree.
    request_class default_class{request_class::standard};
    request_class highest_class{request_class::interactive};
    std::uint16_t weight{1};
    std::vector<service_id> services;    ///< Services the account may call; empty: all.
    std::vector<model_id> models;        ///< Models the account may use; empty: all.
    std::vector<domain_id> domains;      ///< Failure domains that may serve it; empty: all.
    std::vector<limit_rule> limits;      ///< From the account's node up to the root.
    milliseconds default_deadline{0};    ///< For requests without a deadline; 0: rejects them.
    std::optional<std::uint8_t> urgency; ///< Overrides the route's urgency; 0 is the most urgent.

    bool operator==(const account_policy&) const = default;
};

/// Size and time limits of callers' HTTP requests.
struct http_limits
{
    std::uint32_t header_bytes{16U * 1024};
    std::uint64_t body_bytes{8ULL * 1024 * 1024};
    milliseconds header_timeout{10000}; ///< From the first byte of a request to its last.
    milliseconds idle_timeout{60000};   ///< Between two requests on a connection.

    auto operator<=>(const http_limits&) const = default;
};

} // namespace mangovane

#endif
