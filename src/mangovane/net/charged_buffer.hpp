// Read buffer whose memory is charged to the share of its connection.
#ifndef MANGOVANE_NET_CHARGED_BUFFER_HPP
#define MANGOVANE_NET_CHARGED_BUFFER_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>

#include "mangovane/net/request_memory.hpp"

namespace mangovane
{

/// A `flat_buffer` for the read operations of Beast, which report `buffer_overflow` when `prepare`
/// throws `length_error`.
class charged_buffer : public boost::beast::flat_buffer
{
public:
    using base = boost::beast::flat_buffer;

    explicit charged_buffer(std::shared_ptr<request_share> share) noexcept
        : charge_{std::move(share)}
    {}

    mutable_buffers_type prepare(std::size_t n)
    {
        const auto result = try_prepare(n);
        if (!result)
        {
            throw std::length_error{"the memory for requests is exhausted"};
        }
        return *result;
    }

    /// Empty if the share does not get the bytes. `n` is within `max_size`.
    [[nodiscard]] std::optional<mutable_buffers_type> try_prepare(std::size_t n)
    {
        const auto result = base::prepare(n);
        const auto held = charge_.bytes();
        exhausted_ = capacity() > held && !charge_.try_grow(capacity() - held);
        return exhausted_ ? std::nullopt : std::optional{result};
    }

    /// Frees the memory behind the bytes that were not read.
    void shrink_to_fit() noexcept
    {
        base::shrink_to_fit();
        charge_.shrink_to(capacity());
    }

    /// Whether an operation has failed because the share got no more bytes.
    [[nodiscard]] bool exhausted() const noexcept { return exhausted_; }

private:
    request_reservation charge_; ///< Of the capacity.
    bool exhausted_{false};
};

} // namespace mangovane

#endif
