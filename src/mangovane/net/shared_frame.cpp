// Implementation of the pool of shared frames.
#include "mangovane/net/shared_frame.hpp"

#include <utility>

namespace mangovane::internal
{

shared_frame shared_frame_pool::add(std::string bytes)
{
    const auto n = bytes.size();
    if (used_bytes_->fetch_add(n) + n > max_bytes_)
    {
        used_bytes_->fetch_sub(n);
        return nullptr;
    }
    const auto release = [used = used_bytes_, n](const std::string* it)
    {
        delete it;
        used->fetch_sub(n);
    };
    return {new std::string{std::move(bytes)}, release};
}

} // namespace mangovane::internal
