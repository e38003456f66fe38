// Stand-in for a model engine: prompt prefixes in limited memory, a token stream, load reports and
// faults.
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

/// How the engine behaves; faults are changed by `POST /fault` with a JSON object of the same
/// names.
struct engine_behaviour
{
    std::uint32_t tokens{16}; ///< Tokens of an answer.
    milliseconds token_interval{10};
    milliseconds first_token{20}; ///< With the whole prefix cached.
    milliseconds uncached_first_token{60};
    std::uint32_t cached_chats{256}; ///< Prefixes kept, least recently used dropped first.
    std::uint32_t capacity{64};      ///< Requests in flight; beyond it 503.
    std::uint32_t cold_capacity{2};  ///< While cold.
    std::uint32_t warm_after{20};    ///< Requests that end the cold start.
    bool down{false};                ///< Connections are reset.
    bool slow{false};                ///< Ten times the intervals.
    bool crossed{false};             ///< Answers carry another attempt's id.
    bool cut{false};                 ///< The stream is reset half way.
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
    bool touch_prefix(const std::string& chat);
    [[nodiscard]] bool cold() const noexcept { return served_ < behaviour_.warm_after; }

    engine_behaviour behaviour_;
    incarnation epoch_;
    std::uint32_t in_flight_{0};
    std::uint32_t max_in_flight_{0};
    std::uint64_t served_{0}; ///< Since the start or the last turn to cold.
    std::uint64_t hits_{0};
    std::uint64_t total_{0};
    std::uint64_t refused_{0};
    std::list<std::string> recent_; ///< Chats with a cached prefix, most recently used first.
    absl::flat_hash_map<std::string, std::list<std::string>::iterator> cached_;
};

} // namespace mangovane::standin

#endif
