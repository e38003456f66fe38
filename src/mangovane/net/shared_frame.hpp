// Encoded frames that the queues of several links share, with a limit on their total size.
#ifndef MANGOVANE_NET_SHARED_FRAME_HPP
#define MANGOVANE_NET_SHARED_FRAME_HPP

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

namespace mangovane::internal
{

using shared_frame = std::shared_ptr<const std::string>;

/// Counts the bytes of the frames that are still referenced. Thread-safe; its frames may outlive
/// it.
class shared_frame_pool
{
public:
    explicit shared_frame_pool(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// Null when the frames in use would exceed the limit.
    [[nodiscard]] shared_frame add(std::string bytes);

    [[nodiscard]] std::size_t used_bytes() const noexcept { return *used_bytes_; }

private:
    const std::size_t max_bytes_;
    std::shared_ptr<std::atomic<std::size_t>> used_bytes_{
        std::make_shared<std::atomic<std::size_t>>(0)};
};

} // namespace mangovane::internal

#endif
