// Implementation of the operators' pages and the log of the quarantine.
#include "mangovane/daemon/quarantine_pages.hpp"

#include <array>
#include <string_view>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace mangovane
{

namespace
{

constexpr std::string_view list_path = "/quarantine";
constexpr std::string_view lift_path = "/quarantine/lift/";

constexpr std::array<std::string_view, quarantine_change_count> change_names{
    "part_suspected", "part_quarantined", "part_cleared", "part_expired"};

monitoring_response json_page(unsigned status, std::string body)
{
    return {status, "application/json", std::move(body)};
}

std::string list_text(prompt_quarantine& quarantine, time_point now)
{
    std::string entries;
    for (const auto& it : quarantine.refused(now))
    {
        absl::StrAppend(&entries, entries.empty() ? "" : ",", R"({"part":")",
                        absl::Hex(it.verdict.part), R"(","crashes":)", it.verdict.crashes,
                        R"(,"first_crash_ms":)", elapsed_ms(it.verdict.first_crash, now),
                        R"(,"last_crash_ms":)", elapsed_ms(it.verdict.last_crash, now),
                        R"(,"ends_ms":)", remaining_ms(it.keep_until, now), "}");
    }
    return absl::StrCat(R"({"refused":[)", entries, "]}\n");
}

monitoring_response lift_part(prompt_quarantine& quarantine, std::string_view id, time_point now)
{
    std::uint64_t part = 0;
    if (!absl::SimpleHexAtoi({id.data(), id.size()}, &part))
    {
        return json_page(400, "{\"error\":\"the part is not a hexadecimal number\"}\n");
    }
    const bool lifted = quarantine.lift(part, now);
    return json_page(lifted ? 200 : 404,
                     lifted ? "{\"lifted\":true}\n"
                            : "{\"error\":\"the part is not quarantined at this instance\"}\n");
}

} // namespace

std::optional<monitoring_response>
quarantine_page(prompt_quarantine& quarantine, const monitoring_request& req, time_point now)
{
    if (req.path == list_path && req.method == "GET")
    {
        return json_page(200, list_text(quarantine, now));
    }
    if (req.path.starts_with(lift_path) && req.method == "POST")
    {
        return lift_part(quarantine, req.path.substr(lift_path.size()), now);
    }
    return std::nullopt;
}

void log_quarantine_changes(prompt_quarantine& quarantine, event_log& log, time_point now)
{
    for (const auto& it : quarantine.take_events())
    {
        const auto name = change_names[static_cast<std::size_t>(it.change)];
        auto line = absl::StrCat("event=", absl::string_view{name.data(), name.size()},
                                 " part=", absl::Hex(it.part));
        if (it.change == quarantine_change::suspected)
        {
            absl::StrAppend(&line, " crash=", absl::Hex(it.crash));
        }
        else
        {
            absl::StrAppend(&line, " crashes=", it.verdict.crashes,
                            " first_crash_ms=", elapsed_ms(it.verdict.first_crash, now),
                            " last_crash_ms=", elapsed_ms(it.verdict.last_crash, now));
        }
        log.write(line, now);
    }
}

} // namespace mangovane
