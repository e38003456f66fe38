// Limit on the open connections of a listener, and the choice of those that are closed for new
// ones.
#ifndef MANGOVANE_NET_CONNECTION_LIMIT_HPP
#define MANGOVANE_NET_CONNECTION_LIMIT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <mutex>
#include <optional>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// What a connection is doing, as far as it matters for the choice.
enum class connection_phase : std::uint8_t
{
    receiving, ///< Its first request has not arrived, or a later one has begun to arrive.
    idle,      ///< Between two requests.
    serving,   ///< A request has arrived; takes a second descriptor, for an endpoint.
    stalled,   ///< Its caller accepts no more of a response for now.
    closing,   ///< The last response has been sent.
};

inline constexpr std::size_t connection_phase_count = 5;

class connection_place;

/// A connection that is asked to close keeps its descriptor until it does so. Thread-safe.
class connection_limit
{
public:
    using evict_handler = std::function<void()>;

    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max() / 2;

    /// `limit`: descriptors that the connections may take.
    explicit connection_limit(std::size_t limit = unlimited) : limit_{limit} {}
    connection_limit(const connection_limit&) = delete;
    connection_limit& operator=(const connection_limit&) = delete;

    /// A lower limit takes effect as connections come and go.
    void set_limit(std::size_t limit);

    /// Registers a connection whose first request is awaited, and asks others to close if it does
    /// not fit. `evict` asks this one; it is called from any thread and must not block. Empty if no
    /// connection can be closed: the new one has to be.
    [[nodiscard]] std::optional<connection_place> admit(evict_handler evict, time_point now);

    /// Descriptors that the connections take, without those that were asked to close.
    [[nodiscard]] std::size_t used() const;

private:
    friend class connection_place;

    struct entry
    {
        evict_handler evict;
        time_point since; ///< When the phase began.
        connection_phase phase{connection_phase::receiving};
        bool evicted{false}; ///< Asked to close; is then in `leaving_`.
    };

    using entry_list = std::list<entry>;
    using position = entry_list::iterator;
    using handlers = std::vector<evict_handler>;

    [[nodiscard]] entry_list& list_of(const entry& it);
    [[nodiscard]] bool is_full() const { return used_ >= limit_; }
    void move(position it, connection_phase phase, time_point now);
    /// Evicts connections until `descriptors` more fit; the handlers are called without the lock.
    [[nodiscard]] handlers make_room(std::size_t descriptors, time_point now);
    [[nodiscard]] bool evict_one(time_point now, handlers& out);
    void keep(position it);

    mutable std::mutex mutex_;
    std::size_t limit_;   ///< Guarded by `mutex_`, like all that follows.
    std::size_t used_{0}; ///< Of the entries in `phases_`.
    entry_list leaving_;  ///< Connections that were asked to close.
    std::array<entry_list, connection_phase_count> phases_; ///< Each in the order of entry.
};

/// Place of one connection; freed on destruction.
class connection_place
{
public:
    connection_place(connection_place&& other) noexcept;
    connection_place& operator=(connection_place&& other) noexcept;
    ~connection_place();

    /// Begins a phase that takes no further descriptor. Returns the one before.
    connection_phase enter(connection_phase phase, time_point now);

    /// Begins to serve a request. False if no connection can be closed for the descriptor that its
    /// endpoint needs.
    [[nodiscard]] bool begin_serving(time_point now);

    /// Whether the connection was asked to close.
    [[nodiscard]] bool evicted() const;

    /// The connection stays open although it was asked to close, as a request has arrived.
    void keep();

private:
    friend class connection_limit;
    connection_place(connection_limit& limit, connection_limit::position it)
        : limit_{&limit}, it_{it}
    {}

    connection_limit* limit_; ///< Null after a move.
    connection_limit::position it_;
};

/// Descriptors that callers' connections and those to endpoints may take, of the `total` that the
/// process may open in a fleet of `instances`.
[[nodiscard]] std::size_t descriptors_for_callers(std::size_t total, std::size_t instances);

} // namespace mangovane

#endif
