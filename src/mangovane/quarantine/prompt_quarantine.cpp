// Implementation of the quarantine of prompt parts.
#include "mangovane/quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

void prompt_quarantine::make_room(record_map::map_type& entries)
{
    if (entries.size() < capacity / shard_count)
    {
        return;
    }
    // Refused parts are kept as long as there are others.
    const auto least = std::min_element(
        entries.begin(), entries.end(),
        [](const auto& lhs, const auto& rhs)
        {
            return std::tuple{lhs.second.verdict().has_value(), lhs.second.keep_until()} <
                   std::tuple{rhs.second.verdict().has_value(), rhs.second.keep_until()};
        });
    entries.erase(least);
}

template <class Visitor>
void prompt_quarantine::update_record(std::uint64_t part, time_point now, Visitor&& visitor)
{
    bool matters = false;
    records_.with_shard(part,
                        [&](auto& entries)
                        {
                            if (!entries.contains(part))
                            {
                                make_room(entries);
                            }
                            auto& it = entries.try_emplace(part, part).first->second;
                            const bool before = it.verdict().has_value();
                            visitor(it);
                            matters = before || it.verdict();
                        });
    if (matters)
    {
        update_verdicts(now);
    }
}

prompt_quarantine::verdicts_ptr prompt_quarantine::verdicts() const
{
    const std::lock_guard lock{mutex_};
    return verdicts_;
}

const quarantined_part* prompt_quarantine::find_verdict(const verdict_list& verdicts,
                                                        std::uint64_t part)
{
    const auto it = std::find_if(verdicts.begin(), verdicts.end(),
                                 [&](const auto& entry) { return entry.verdict.part == part; });
    return it == verdicts.end() ? nullptr : &*it;
}

void prompt_quarantine::update_verdicts(time_point now)
{
    std::vector<part_record> suspects;
    records_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [part, it] : entries)
            {
                if (!it.expired(now) && it.verdict())
                {
                    suspects.push_back(it);
                }
            }
        });
    auto found = std::make_shared<verdict_list>();
    for (const auto& it : suspects)
    {
        const bool explained = std::any_of(suspects.begin(), suspects.end(),
                                           [&](const auto& other) { return other.explains(it); });
        if (!explained)
        {
            found->push_back({*it.verdict(), it.keep_until()});
        }
    }
    std::sort(found->begin(), found->end());
    verdicts_ptr before;
    {
        const std::lock_guard lock{mutex_};
        before = std::exchange(verdicts_, found);
    }
    for (const auto& it : *found)
    {
        if (find_verdict(*before, it.verdict.part) == nullptr)
        {
            add_event({quarantine_change::refused, it.verdict.part, 0, it.verdict});
        }
    }
    for (const auto& it : *before)
    {
        if (find_verdict(*found, it.verdict.part) == nullptr)
        {
            const auto change =
                now >= it.keep_until ? quarantine_change::expired : quarantine_change::cleared;
            add_event({change, it.verdict.part, 0, it.verdict});
        }
    }
}

void prompt_quarantine::add_event(quarantine_event event)
{
    const std::lock_guard lock{mutex_};
    if (events_.size() < max_events)
    {
        events_.push_back(event);
    }
}

void prompt_quarantine::add_pending(pending_news news)
{
    const std::lock_guard lock{mutex_};
    const bool known =
        std::any_of(pending_.begin(), pending_.end(),
                    [&](const auto& it) { return it.part == news.part && it.crash == news.crash; });
    // What finds no room is told with the next summary.
    if (!known && pending_.size() < max_pending)
    {
        pending_.push_back(news);
    }
}

void prompt_quarantine::on_survived(const prompt_identity& prompt, time_point now)
{
    for (const auto& [part, tokens] : prompt.shared)
    {
        answers_.record(part, now);
        clear(part, now);
    }
    // Not in the log of answers: prompts that come once would displace the parts that are shared.
    clear(prompt.whole, now);
}

void prompt_quarantine::clear(std::uint64_t part, time_point now)
{
    bool is_suspected = false;
    records_.find(part, [&](const part_record& it) { is_suspected = !it.evidence().empty(); });
    if (is_suspected)
    {
        update_record(part, now, [&](part_record& it) { it.on_answer(now); });
        add_pending({part, 0, now, now});
    }
}

bool prompt_quarantine::add_crash(const crash_evidence& evidence, time_point now)
{
    bool is_new = false;
    bool suspected_before = false;
    update_record(evidence.part, now,
                  [&](part_record& it)
                  {
                      is_new = it.add(evidence);
                      suspected_before = it.is_suspected_besides(evidence.crash);
                  });
    if (is_new)
    {
        add_event({quarantine_change::suspected, evidence.part, evidence.crash, {}});
        add_pending({evidence.part, evidence.crash, now,
                     evidence.answered_before ? now + answer_wait : now});
    }
    return suspected_before;
}

bool prompt_quarantine::on_crash(std::uint64_t crash, const prompt_identity& prompt, time_point now)
{
    bool suspected_before = false;
    crash_evidence evidence{0, crash, now, now + evidence_ttl, false, 0};
    for (const auto& [part, tokens] : prompt.shared)
    {
        const auto answered = answers_.last(part);
        evidence.part = part;
        evidence.answered_before = answered && now < *answered + recent_answer;
        suspected_before = add_crash(evidence, now) || suspected_before;
        evidence.depth = static_cast<std::uint8_t>(std::min(evidence.depth + 1, UINT8_MAX));
    }
    if (prompt.whole != 0)
    {
        evidence.part = prompt.whole;
        evidence.answered_before = false;
        suspected_before = add_crash(evidence, now) || suspected_before;
    }
    return !suspected_before;
}

quarantine_update prompt_quarantine::on_update(const quarantine_update& update, time_point now)
{
    quarantine_update response;
    for (const auto& msg : update.answers)
    {
        update_record(msg.part, now,
                      [&](part_record& it)
                      {
                          it.on_answer(msg.at);
                          it.on_announced(msg.at);
                          it.keep(now + evidence_ttl);
                      });
    }
    for (const auto& msg : update.crashes)
    {
        const auto own_answer = answers_.last(msg.part);
        const bool is_void = own_answer && *own_answer > msg.at;
        std::optional<part_answer> answer;
        update_record(msg.part, now,
                      [&](part_record& it)
                      {
                          if (is_void)
                          {
                              it.on_answer(*own_answer);
                          }
                          it.add(msg);
                          if (it.answered_at() >= msg.at)
                          {
                              answer = part_answer{msg.part, it.answered_at()};
                          }
                      });
        if (is_void)
        {
            const milliseconds delay{hash_combine(seed_, msg.part) % answer_spread_ms};
            add_pending({msg.part, 0, msg.at, now + delay});
        }
        if (answer && update.is_summary && response.answers.size() < max_update_answers)
        {
            response.answers.push_back(*answer);
        }
    }
    return response;
}

template <class Visitor>
std::optional<part_verdict> prompt_quarantine::last_verdict(const prompt_identity& prompt,
                                                            const Visitor& visitor) const
{
    const auto current = verdicts();
    if (current->empty())
    {
        return std::nullopt;
    }
    std::optional<part_verdict> result;
    const auto check_part = [&](std::uint64_t part)
    {
        if (const auto* found = find_verdict(*current, part))
        {
            result = found->verdict;
            visitor(part);
        }
    };
    for (const auto& [part, tokens] : prompt.shared)
    {
        check_part(part);
    }
    check_part(prompt.whole);
    return result;
}

std::optional<part_verdict> prompt_quarantine::check(const prompt_identity& prompt, time_point now)
{
    return last_verdict(
        prompt, [&](std::uint64_t part)
        { records_.find(part, [&](part_record& it) { it.keep(now + refusal_hold); }); });
}

std::optional<part_verdict> prompt_quarantine::preview(const prompt_identity& prompt) const
{
    return last_verdict(prompt, [](std::uint64_t) {});
}

bool prompt_quarantine::lift(std::uint64_t part, time_point now)
{
    const auto current = verdicts();
    if (find_verdict(*current, part) == nullptr)
    {
        return false;
    }
    for (const auto id : explained_by(part))
    {
        update_record(id, now, [&](part_record& it) { it.on_answer(now); });
        add_pending({id, 0, now, now});
    }
    return true;
}

std::vector<std::uint64_t> prompt_quarantine::explained_by(std::uint64_t part)
{
    part_record cause{part};
    records_.find(part, [&](const part_record& it) { cause = it; });
    std::vector<std::uint64_t> result{part};
    records_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [id, it] : entries)
            {
                if (id != part && it.verdict() && cause.explains(it))
                {
                    result.push_back(id);
                }
            }
        });
    return result;
}

void prompt_quarantine::append(const pending_news& news, quarantine_update& out)
{
    records_.find(news.part,
                  [&](part_record& it)
                  {
                      if (news.crash == 0)
                      {
                          const bool is_needless = it.announced_at() >= news.known_through;
                          if (!is_needless && out.answers.size() < max_update_answers)
                          {
                              out.answers.push_back({news.part, it.answered_at()});
                              it.on_announced(it.answered_at());
                          }
                          return;
                      }
                      for (const auto& evidence : it.evidence())
                      {
                          if (evidence.crash == news.crash &&
                              out.crashes.size() < max_update_crashes)
                          {
                              out.crashes.push_back(evidence);
                          }
                      }
                  });
}

quarantine_update prompt_quarantine::take_news(time_point now)
{
    expire(now);
    std::vector<pending_news> due;
    {
        const std::lock_guard lock{mutex_};
        const auto first_due = std::partition(pending_.begin(), pending_.end(),
                                              [&](const auto& it) { return now < it.send_at; });
        due.assign(first_due, pending_.end());
        pending_.erase(first_due, pending_.end());
    }
    quarantine_update result;
    for (const auto& it : due)
    {
        append(it, result);
    }
    return result;
}

quarantine_update prompt_quarantine::summary(time_point now)
{
    std::vector<std::vector<crash_evidence>> found;
    records_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [part, it] : entries)
            {
                if (!it.expired(now))
                {
                    found.push_back(it.evidence());
                }
            }
        });
    // The most suspect parts come first, in case the limit leaves some out.
    std::sort(found.begin(), found.end(),
              [](const auto& lhs, const auto& rhs) {
                  return std::tuple{rhs.size(), lhs} < std::tuple{lhs.size(), rhs};
              });
    quarantine_update result;
    result.is_summary = true;
    for (const auto& list : found)
    {
        const auto room = max_summary_crashes - result.crashes.size();
        const auto n = static_cast<std::ptrdiff_t>(std::min(room, list.size()));
        result.crashes.insert(result.crashes.end(), list.begin(), list.begin() + n);
    }
    return result;
}

std::vector<quarantine_event> prompt_quarantine::take_events()
{
    const std::lock_guard lock{mutex_};
    return std::exchange(events_, {});
}

std::vector<quarantined_part> prompt_quarantine::refused(time_point now) const
{
    auto result = *verdicts();
    std::erase_if(result, [&](const auto& it) { return now >= it.keep_until; });
    return result;
}

void prompt_quarantine::expire(time_point now)
{
    records_.for_each_shard(
        [&](auto& entries)
        { absl::erase_if(entries, [&](const auto& entry) { return entry.second.expired(now); }); });
    if (!verdicts()->empty())
    {
        update_verdicts(now);
    }
}

} // namespace mangovane
