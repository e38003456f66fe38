// Limit on the bytes that all sessions of an instance hold in memory at the same time.
#ifndef MANGOVANE_NET_BYTE_BUDGET_HPP
#define MANGOVANE_NET_BYTE_BUDGET_HPP

#include <atomic>
#include <cstddef>
#include <utility>

namespace mangovane
{

/// Limit on the requests that a process reads and holds. The smallest machines have 112 MB, of
/// which an idle process takes 12 MB, held responses 16 MB, and state about the fleet grows with
/// its size.
inline constexpr std::size_t default_request_budget = std::size_t{32} * 1024 * 1024;

/// Thread-safe.
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit) noexcept : limit_{limit} {}

    /// Takes `n` bytes; false if that would exceed the limit.
    [[nodiscard]] bool try_take(std::size_t n) noexcept
    {
        auto used = used_.load(std::memory_order_relaxed);
        do
        {
            if (n > limit_ - used)
            {
                return false;
            }
        } while (!used_.compare_exchange_weak(used, used + n, std::memory_order_relaxed));
        return true;
    }

    /// Returns bytes that were taken.
    void give_back(std::size_t n) noexcept { used_.fetch_sub(n, std::memory_order_relaxed); }

    [[nodiscard]] std::size_t used() const noexcept
    {
        return used_.load(std::memory_order_relaxed);
    }

private:
    const std::size_t limit_;          ///< Bytes.
    std::atomic<std::size_t> used_{0}; ///< At most `limit_`.
};

/// Bytes taken from a budget, which are given back on destruction.
class byte_reservation
{
public:
    /// The budget outlives the reservation.
    explicit byte_reservation(byte_budget& budget) noexcept : budget_{&budget} {}
    byte_reservation(byte_reservation&& other) noexcept
        : budget_{other.budget_}, bytes_{std::exchange(other.bytes_, 0)}
    {}
    byte_reservation& operator=(byte_reservation&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation() { budget_->give_back(bytes_); }

    /// Takes `n` more bytes; false if the budget does not have them.
    [[nodiscard]] bool try_grow(std::size_t n) noexcept
    {
        const bool taken = budget_->try_take(n);
        bytes_ += taken ? n : 0;
        return taken;
    }

    /// Gives back what exceeds `n` bytes.
    void shrink_to(std::size_t n) noexcept
    {
        if (n < bytes_)
        {
            budget_->give_back(bytes_ - n);
            bytes_ = n;
        }
    }

    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    byte_budget* budget_;
    std::size_t bytes_{0};
};

} // namespace mangovane

#endif
