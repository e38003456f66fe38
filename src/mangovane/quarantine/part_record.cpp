// Implementation of the record of a prompt part.
#include "mangovane/quarantine/part_record.hpp"

#include <algorithm>

namespace mangovane
{

bool part_record::add(const crash_evidence& evidence)
{
    keep(evidence.keep_until);
    const auto known = std::find_if(crashes_.begin(), crashes_.end(),
                                    [&](const crash& it) { return it.id == evidence.crash; });
    crash merged{evidence.at, evidence.crash, evidence.answered_before, evidence.depth};
    const bool is_new = known == crashes_.end();
    if (!is_new)
    {
        merged.at = std::min(merged.at, known->at);
        merged.answered_before = merged.answered_before || known->answered_before;
        merged.depth = std::max(merged.depth, known->depth);
        crashes_.erase(known);
    }
    if (merged.at <= answered_at_)
    {
        return false;
    }
    crashes_.insert(std::upper_bound(crashes_.begin(), crashes_.end(), merged), merged);
    if (crashes_.size() > max_crashes)
    {
        crashes_.erase(crashes_.begin());
    }
    return is_new;
}

bool part_record::on_answer(time_point at)
{
    answered_at_ = std::max(answered_at_, at);
    return std::erase_if(crashes_, [&](const crash& it) { return it.at <= answered_at_; }) != 0;
}

std::uint32_t part_record::count_moments(bool only_unanswered) const
{
    std::uint32_t result = 0;
    auto last = time_point::min();
    for (const auto& it : crashes_)
    {
        const bool counts = !only_unanswered || !it.answered_before;
        if (counts && (result == 0 || it.at >= last + same_moment))
        {
            ++result;
            last = it.at;
        }
    }
    return result;
}

std::optional<part_verdict> part_record::verdict() const
{
    if (count_moments(true) < crash_limit && count_moments(false) < crash_limit_answered_before)
    {
        return std::nullopt;
    }
    return part_verdict{part_, static_cast<std::uint32_t>(crashes_.size()), crashes_.front().at,
                        crashes_.back().at};
}

bool part_record::has_crash(std::uint64_t id) const
{
    return std::any_of(crashes_.begin(), crashes_.end(),
                       [&](const crash& it) { return it.id == id; });
}

std::uint8_t part_record::depth() const
{
    std::uint8_t result = 0;
    for (const auto& it : crashes_)
    {
        result = std::max(result, it.depth);
    }
    return result;
}

bool part_record::explains(const part_record& other) const
{
    const bool covers = std::all_of(other.crashes_.begin(), other.crashes_.end(),
                                    [&](const crash& it) { return has_crash(it.id); });
    return covers && (crashes_.size() > other.crashes_.size() || depth() > other.depth());
}

bool part_record::is_suspected_besides(std::uint64_t crash_id) const
{
    return std::any_of(crashes_.begin(), crashes_.end(),
                       [&](const crash& it) { return it.id != crash_id && !it.answered_before; });
}

std::vector<crash_evidence> part_record::evidence() const
{
    std::vector<crash_evidence> result;
    for (const auto& it : crashes_)
    {
        result.push_back({part_, it.id, it.at, keep_until_, it.answered_before, it.depth});
    }
    return result;
}

} // namespace mangovane
