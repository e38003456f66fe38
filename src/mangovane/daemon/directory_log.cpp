// Implementation of the log of endpoint lists.
#include "mangovane/daemon/directory_log.hpp"

#include <absl/strings/str_cat.h>

namespace mangovane
{

namespace
{

/// The entries that differ between two lists; they refer to the lists.
struct differences
{
    std::vector<const endpoint_info*> listed;
    std::vector<const endpoint_info*> changed;
    std::vector<const endpoint_info*> gone;
};

differences compare(const endpoint_directory& before, const endpoint_directory& after)
{
    differences result;
    for (const auto& it : after.all())
    {
        const auto* known = before.find(it.id);
        if (known == nullptr)
        {
            result.listed.push_back(&it);
        }
        else if (!(*known == it))
        {
            result.changed.push_back(&it);
        }
    }
    for (const auto& it : before.all())
    {
        if (after.find(it.id) == nullptr)
        {
            result.gone.push_back(&it);
        }
    }
    return result;
}

std::string describe(const endpoint_info& it, time_point now)
{
    const auto cold = it.cold_until > now
                          ? std::chrono::duration_cast<milliseconds>(it.cold_until - now).count()
                          : 0;
    return absl::StrCat("endpoint=", it.name, " address=", it.address, " domain=", it.domain_name,
                        " leaving=", it.leaving ? 1 : 0, " cold_ms=", cold);
}

} // namespace

std::vector<std::string> directory_changes(const endpoint_directory& before,
                                           const endpoint_directory& after,
                                           store_revision revision,
                                           time_point now)
{
    const auto found = compare(before, after);
    if (found.listed.size() + found.changed.size() + found.gone.size() > max_directory_lines)
    {
        return {absl::StrCat("event=endpoints_replaced listed=", found.listed.size(),
                             " changed=", found.changed.size(), " gone=", found.gone.size(),
                             " endpoints=", after.all().size(),
                             " revision=", to_log_text(revision))};
    }
    std::vector<std::string> result;
    const auto add = [&](const char* event, const std::vector<const endpoint_info*>& entries)
    {
        for (const auto* it : entries)
        {
            result.push_back(
                absl::StrCat(event, describe(*it, now), " revision=", to_log_text(revision)));
        }
    };
    add("event=endpoint_listed ", found.listed);
    add("event=endpoint_changed ", found.changed);
    add("event=endpoint_gone ", found.gone);
    return result;
}

} // namespace mangovane
