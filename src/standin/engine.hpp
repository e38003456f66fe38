// Stand-in for a model engine: a bounded cache of prompt prefixes, token streams, load reports and
// injected faults.
#ifndef MANGOVANE_STANDIN_ENGINE_HPP
#define MANGOVANE_STANDIN_ENGINE_HPP

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"
#include "standin/http_host.hpp"

namespace mangovane::standin
{

/// Timing, limits and faults of the engine. `POST /fault` changes the faults; its JSON object uses
/// the names of the members.
struct engine_behaviour
{
    std::uint32_t tokens{16}; ///< Per response.
    milliseconds token_interval{10};
    milliseconds first_token{20}; ///< Delay if the prompt prefix is cached.
    milliseconds uncached_first_token{60};
    std::uint32_t cached_chats{256}; ///< Size of the LRU cache of prefixes.
    std::uint32_t capacity{64};      ///< Requests in flight; further ones get 503.
    std::uint32_t cold_capacity{2};  ///< Capacity during the cold start.
    std::uint32_t warm_after{20};    ///< Served requests after which the cold start ends.
    bool down{false};                ///< Connections are reset.
    bool slow{false};                ///< Delays are ten times as long.
    bool crossed{false};             ///< Responses carry the id of another attempt.
    bool cut{false};                 ///< The connection is reset after half of the tokens.
    bool leaving{false};

    auto operator<=>(const engine_behaviour&) const = default;
};

class engine
{
public:
    explicit engine(engine_behaviour behaviour);

    boost::asio::awaitable<void> handle(const request& req, reply& rep);

private:
    boost::asio::awaitable<void> complete(const request& req, reply& rep);
    boost::asio::awaitable<void> stream(const request& req, reply& rep, bool cached);
    boost::asio::awaitable<void> change_fault(const request& req, reply& rep);
    [[nodiscard]] std::string load_text() const;
    bool use_cached_prefix(const std::string& chat);
    [[nodiscard]] bool cold() const noexcept { return served_ < behaviour_.warm_after; }

    engine_behaviour behaviour_;
    incarnation epoch_;
    std::uint32_t in_flight_{0};
    std::uint32_t max_in_flight_{0};
    std::uint64_t served_{0}; ///< Since the start or the last cold start.
    std::uint64_t hits_{0};
    std::uint64_t total_{0};
    std::uint64_t refused_{0};
    std::list<std::string> recent_; ///< Chats with a cached prefix, most recently used first.
    absl::flat_hash_map<std::string, std::list<std::string>::iterator> cached_;
};

} // namespace mangovane::standin

#endif
