// Implementation of the memory for requests.
#include "mangovane/net/request_memory.hpp"

#include <algorithm>

namespace mangovane
{

namespace
{

/// Unfinished requests get so many parts of what the others leave. The rest is for those that have
/// arrived whole, and for what evicted ones have not given back yet.
constexpr std::size_t unfinished_parts = 3;
constexpr std::size_t unfinished_divisor = 4;

} // namespace

std::size_t request_memory::used() const
{
    const std::lock_guard lock{mutex_};
    return total();
}

request_share* request_memory::heaviest(time_point now) const
{
    const auto weight = [now](const request_share* it)
    {
        const auto time = std::chrono::duration_cast<milliseconds>(now - it->begun_at_);
        return static_cast<double>(it->bytes_) * static_cast<double>(time.count() + 1);
    };
    const auto it = std::max_element(reading_.begin(), reading_.end(),
                                     [&](const auto* left, const auto* right)
                                     { return weight(left) < weight(right); });
    return it == reading_.end() ? nullptr : *it;
}

bool request_memory::make_room(request_share& it, std::size_t n, handlers& evicted)
{
    const auto& reading = bytes_of(use::reading);
    const auto limit = (limit_ - bytes_of(use::whole)) / unfinished_divisor * unfinished_parts;
    while (reading + n > limit && reading != it.bytes_)
    {
        auto* const chosen = heaviest(clock::now());
        if (chosen == &it)
        {
            return false;
        }
        chosen->set_use(use::evicted);
        evicted.push_back(chosen->evict_);
    }
    return true;
}

bool request_memory::try_take(request_share& it, std::size_t n, handlers& evicted)
{
    const bool may_take =
        it.use_ == use::whole || (it.use_ == use::reading && make_room(it, n, evicted));
    if (!may_take || n > limit_ - total())
    {
        return false;
    }
    bytes_of(it.use_) += n;
    it.bytes_ += n;
    return true;
}

request_share::~request_share()
{
    end_request();
}

void request_share::set_use(use to)
{
    memory_->bytes_of(use_) -= bytes_;
    memory_->bytes_of(to) += bytes_;
    if (use_ == use::reading)
    {
        memory_->reading_.erase(position_);
    }
    if (to == use::reading)
    {
        position_ = memory_->reading_.insert(memory_->reading_.end(), this);
    }
    use_ = to;
}

void request_share::begin_request(time_point now)
{
    const std::lock_guard lock{memory_->mutex_};
    begun_at_ = now;
    set_use(use::reading);
}

void request_share::end_request()
{
    const std::lock_guard lock{memory_->mutex_};
    set_use(use::whole);
}

bool request_share::evicted() const
{
    const std::lock_guard lock{memory_->mutex_};
    return use_ == use::evicted;
}

bool request_share::try_take(std::size_t n)
{
    request_memory::handlers evicted;
    bool taken = false;
    {
        const std::lock_guard lock{memory_->mutex_};
        taken = memory_->try_take(*this, n, evicted);
    }
    for (const auto& it : evicted)
    {
        it();
    }
    return taken;
}

void request_share::give_back(std::size_t n) noexcept
{
    const std::lock_guard lock{memory_->mutex_};
    memory_->bytes_of(use_) -= n;
    bytes_ -= n;
}

} // namespace mangovane
