// Limit on the bytes that all sessions of an instance hold in memory at the same time.
#ifndef MANGOVANE_NET_BYTE_BUDGET_HPP
#define MANGOVANE_NET_BYTE_BUDGET_HPP

#include <atomic>
#include <cstddef>
#include <utility>

namespace mangovane
{

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

/// Bytes taken from a budget, which are given back on destruction. `Pointer` refers to the budget,
/// and may share its ownership.
template <class Pointer>
class basic_reservation
{
public:
    explicit basic_reservation(Pointer budget) noexcept : budget_{std::move(budget)} {}
    basic_reservation(basic_reservation&& other) noexcept
        : budget_{other.budget_}, bytes_{std::exchange(other.bytes_, 0)}
    {}
    basic_reservation& operator=(basic_reservation&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    basic_reservation(const basic_reservation&) = delete;
    basic_reservation& operator=(const basic_reservation&) = delete;
    ~basic_reservation() { shrink_to(0); }

    /// Takes `n` more bytes; false if the budget does not have them.
    [[nodiscard]] bool try_grow(std::size_t n)
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
    Pointer budget_;
    std::size_t bytes_{0};
};

/// Bytes of a `byte_budget`, which outlives the reservation.
class byte_reservation : public basic_reservation<byte_budget*>
{
public:
    explicit byte_reservation(byte_budget& budget) noexcept : basic_reservation{&budget} {}
};

} // namespace mangovane

#endif
