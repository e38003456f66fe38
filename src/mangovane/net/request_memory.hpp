// Memory for the requests that callers send, and the choice of those that give theirs up.
#ifndef MANGOVANE_NET_REQUEST_MEMORY_HPP
#define MANGOVANE_NET_REQUEST_MEMORY_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "mangovane/core/time.hpp"
#include "mangovane/net/byte_budget.hpp"

namespace mangovane
{

class request_share;

/// Limit on the requests that a process reads and holds. The smallest machines have 112 MB, of
/// which an idle process takes 12 MB, held responses 16 MB, and state about the fleet grows with
/// its size.
inline constexpr std::size_t default_request_memory = std::size_t{32} * 1024 * 1024;

/// Requests that have not arrived whole get three quarters of what the others leave. When they need
/// more, one of them is evicted: the one with the largest product of its bytes and its time. A
/// request that arrives without delay is small in one of both, so callers that wait cannot keep it
/// out. A single unfinished request may take all that is left. Thread-safe.
class request_memory
{
public:
    /// Bytes.
    explicit request_memory(std::size_t limit) noexcept : limit_{limit} {}
    request_memory(const request_memory&) = delete;
    request_memory& operator=(const request_memory&) = delete;

    [[nodiscard]] std::size_t used() const;

private:
    friend class request_share;

    using shares = std::list<request_share*>;
    using handlers = std::vector<std::function<void()>>;

    /// What a share is used for.
    enum class use : std::uint8_t
    {
        whole,   ///< A request that has arrived whole, or none.
        reading, ///< An unfinished request.
        evicted, ///< An unfinished request that was asked to give up its memory.
    };

    [[nodiscard]] std::size_t& bytes_of(use it) { return bytes_[static_cast<std::size_t>(it)]; }
    /// Without the lock: the total may change.
    [[nodiscard]] std::size_t total() const { return bytes_[0] + bytes_[1] + bytes_[2]; }
    [[nodiscard]] bool try_take(request_share& it, std::size_t n, handlers& evicted);
    /// Evicts requests until `n` more bytes of `it` are within the part of unfinished ones. False
    /// if `it` would have to be evicted itself.
    [[nodiscard]] bool make_room(request_share& it, std::size_t n, handlers& evicted);
    [[nodiscard]] request_share* heaviest(time_point now) const;

    mutable std::mutex mutex_;
    const std::size_t limit_;
    std::array<std::size_t, 3> bytes_{}; ///< Of all shares, by `use`; at most `limit_` together.
    shares reading_;                     ///< Shares with the use `reading`.
};

/// What one connection takes of the memory. Its bytes are given back before it is destroyed.
class request_share
{
public:
    explicit request_share(std::shared_ptr<request_memory> memory) : memory_{std::move(memory)} {}
    ~request_share();
    request_share(const request_share&) = delete;
    request_share& operator=(const request_share&) = delete;

    /// `evict` asks the connection to give up its unfinished request; it is called from any thread
    /// and must not block. Called before the first request.
    void on_evict(std::function<void()> evict) { evict_ = std::move(evict); }

    /// The first byte of a request has arrived.
    void begin_request(time_point now);

    /// The request has arrived whole, or will not.
    void end_request();

    /// Whether the request was asked to give up its memory.
    [[nodiscard]] bool evicted() const;

    /// Takes `n` bytes; false if the memory does not have them for this request.
    [[nodiscard]] bool try_take(std::size_t n);

    /// Returns bytes that were taken.
    void give_back(std::size_t n) noexcept;

private:
    friend class request_memory;
    using use = request_memory::use;

    /// Called with the lock of the memory.
    void set_use(use to);

    const std::shared_ptr<request_memory> memory_;
    std::function<void()> evict_;
    std::size_t bytes_{0};  ///< Guarded by the mutex of the memory, like all that follows.
    time_point begun_at_{}; ///< When the first byte of the request arrived.
    use use_{use::whole};
    request_memory::shares::iterator position_; ///< With the use `reading` only.
};

/// Bytes of a share. A request may be held for longer than its connection exists.
using request_reservation = basic_reservation<std::shared_ptr<request_share>>;

} // namespace mangovane

#endif
