// Implementation of the fair queue.
#include "mangovane/queue/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangovane
{

namespace
{

/// Virtual time by which an account may lag behind its class, in requests of weight 1: unused turns
/// that it may take at once. Without it, an account that stays within its share waits longer in
/// each of its bursts while another account surges.
constexpr double max_account_lag = 8;

/// Above this number of accounts in a class, empty ones are removed early. Bounds the memory and
/// the time of `pop` when thousands of accounts send a few requests each.
constexpr std::size_t max_tracked_accounts = 256;

bool admit_all(const slot_request&)
{
    return true;
}

std::size_t class_index(const slot_request& request) noexcept
{
    return static_cast<std::size_t>(request.priority);
}

double weight_of(const slot_request& request) noexcept
{
    return std::max<double>(request.weight, 1.0);
}

/// At least 1: a class with a share of zero would starve.
double share_of(const queue_limits& limits, std::size_t n) noexcept
{
    return std::max<double>(limits.class_shares[n], 1.0);
}

} // namespace

bool fair_queue::push(const queue_limits& limits, const waiting_request& entry)
{
    auto& queue = classes_[class_index(entry.request)];
    std::size_t of_account = 0;
    for (const auto& it : classes_)
    {
        const auto found = it.accounts.find(entry.request.account);
        of_account += found == it.accounts.end() ? 0 : found->second.entries.size();
    }
    if (size_ >= limits.total || of_account >= limits.per_account)
    {
        return false;
    }
    auto& account = queue.accounts[entry.request.account];
    account.entries.push_back(queued_entry{next_arrival_++, entry});
    ++queue.size;
    ++size_;
    return true;
}

std::optional<waiting_request> fair_queue::pop(const queue_limits& limits)
{
    return pop(limits, admit_all);
}

std::optional<waiting_request> fair_queue::pop(const queue_limits& limits, request_filter admits)
{
    candidates next;
    for (std::size_t n = 0; n != classes_.size(); ++n)
    {
        next[n] = find_next(classes_[n], admits);
    }
    const auto chosen = choose_class(limits, next);
    if (!chosen)
    {
        return std::nullopt;
    }
    return take(classes_[*chosen], *next[*chosen]);
}

double fair_queue::start_tag(const class_queue& queue, const account_queue& account) noexcept
{
    return std::max(queue.virtual_time - max_account_lag, account.finish_tag);
}

std::optional<fair_queue::candidate> fair_queue::find_next(const class_queue& queue,
                                                           request_filter admits)
{
    std::optional<candidate> best;
    for (const auto& [id, account] : queue.accounts)
    {
        const auto it =
            std::find_if(account.entries.begin(), account.entries.end(),
                         [&](const queued_entry& entry) { return admits(entry.waiting.request); });
        if (it == account.entries.end())
        {
            continue;
        }
        const auto index = static_cast<std::size_t>(it - account.entries.begin());
        const auto tag = start_tag(queue, account);
        if (!best || std::pair{tag, it->arrival} < std::pair{best->start_tag, best->arrival})
        {
            best = candidate{id, index, tag, it->arrival};
        }
    }
    return best;
}

std::optional<std::size_t> fair_queue::choose_class(const queue_limits& limits,
                                                    const candidates& next)
{
    double total = 0;
    for (std::size_t n = 0; n != next.size(); ++n)
    {
        total += next[n] ? share_of(limits, n) : 0;
    }
    std::optional<std::size_t> best;
    for (std::size_t n = 0; n != next.size(); ++n)
    {
        if (!next[n])
        {
            continue;
        }
        classes_[n].credit += share_of(limits, n) / total;
        if (!best || classes_[n].credit > classes_[*best].credit)
        {
            best = n;
        }
    }
    if (best)
    {
        classes_[*best].credit -= 1;
    }
    return best;
}

waiting_request fair_queue::take(class_queue& queue, const candidate& chosen)
{
    auto& account = queue.accounts.at(chosen.account);
    const auto it = account.entries.begin() + static_cast<std::ptrdiff_t>(chosen.index);
    const auto result = it->waiting;
    account.entries.erase(it);
    queue.virtual_time = std::max(queue.virtual_time, chosen.start_tag);
    account.finish_tag = chosen.start_tag + 1.0 / weight_of(result.request);
    --queue.size;
    --size_;
    prune_accounts(queue);
    return result;
}

void fair_queue::prune_accounts(class_queue& queue)
{
    if (queue.size == 0)
    {
        // An idle class does not accumulate credit. Negative credit is kept: it stands for turns
        // already taken.
        queue.credit = std::min(queue.credit, 0.0);
    }
    const bool crowded = queue.accounts.size() > max_tracked_accounts;
    const auto idle_tag = start_tag(queue, {});
    absl::erase_if(
        queue.accounts, [&](const auto& it)
        { return it.second.entries.empty() && (crowded || it.second.finish_tag <= idle_tag); });
}

std::size_t fair_queue::position_of(const queue_limits& limits, const slot_request& request) const
{
    const auto own = class_index(request);
    const auto& queue = classes_[own];
    const auto found = queue.accounts.find(request.account);
    const auto known = found != queue.accounts.end();
    const auto before = static_cast<double>(known ? found->second.entries.size() : 0);
    const auto first = known ? start_tag(queue, found->second) : start_tag(queue, {});
    const auto own_tag = first + before / weight_of(request);
    auto in_class = before;
    for (const auto& [id, account] : queue.accounts)
    {
        const auto lead = own_tag - start_tag(queue, account);
        if (id == request.account || account.entries.empty() || lead < 0)
        {
            continue;
        }
        const auto turns =
            std::floor(lead * weight_of(account.entries.front().waiting.request)) + 1;
        in_class += std::min(turns, static_cast<double>(account.entries.size()));
    }
    double result = in_class;
    for (std::size_t n = 0; n != classes_.size(); ++n)
    {
        const auto turns = (in_class + 1) * share_of(limits, n) / share_of(limits, own);
        result += n == own ? 0 : std::min(turns, static_cast<double>(classes_[n].size));
    }
    return static_cast<std::size_t>(result);
}

std::vector<waiting_request> fair_queue::extract(request_filter selects)
{
    std::vector<queued_entry> taken;
    for (auto& queue : classes_)
    {
        for (auto& [id, account] : queue.accounts)
        {
            auto& entries = account.entries;
            const auto first = std::stable_partition(entries.begin(), entries.end(),
                                                     [&](const queued_entry& it)
                                                     { return !selects(it.waiting.request); });
            const auto n = static_cast<std::size_t>(entries.end() - first);
            taken.insert(taken.end(), first, entries.end());
            entries.erase(first, entries.end());
            queue.size -= n;
            size_ -= n;
        }
        prune_accounts(queue);
    }
    std::sort(taken.begin(), taken.end(),
              [](const queued_entry& lhs, const queued_entry& rhs)
              { return lhs.arrival < rhs.arrival; });
    std::vector<waiting_request> result;
    result.reserve(taken.size());
    for (const auto& it : taken)
    {
        result.push_back(it.waiting);
    }
    return result;
}

std::vector<waiting_request> fair_queue::expire(time_point now)
{
    return extract([now](const slot_request& it)
                   { return it.wait_until <= now || it.deadline <= now; });
}

bool fair_queue::remove(const attempt_id& attempt)
{
    return !extract([&](const slot_request& it) { return it.attempt == attempt; }).empty();
}

bool fair_queue::contains(const attempt_id& attempt) const
{
    for (const auto& queue : classes_)
    {
        for (const auto& [id, account] : queue.accounts)
        {
            if (std::any_of(account.entries.begin(), account.entries.end(),
                            [&](const queued_entry& it)
                            { return it.waiting.request.attempt == attempt; }))
            {
                return true;
            }
        }
    }
    return false;
}

std::vector<waiting_request> fair_queue::drain()
{
    return extract(admit_all);
}

} // namespace mangovane
