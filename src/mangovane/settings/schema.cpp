// The tables of settings, and the operations derived from their rows.
#include "mangovane/settings/schema.hpp"

#include <algorithm>
#include <cmath>
#include <type_traits>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace mangovane
{

namespace
{

using enum cap_rule;
using enum reference_kind;
using nv = node_values;
using sp = service_policy;

constexpr setting_range no_range{};
constexpr setting_range any_count{0, 1'000'000};
constexpr setting_range from_one{1, 1'000'000};
constexpr setting_range day_ms{0, 86'400'000};

const std::array<setting_row<nv>, 10> node_rows{{
    {"class", &nv::default_class, no_range, "", uncapped, none,
     "Class of requests that name none: interactive, standard or overnight."},
    {"highest_class", &nv::highest_class, no_range, "", capped, none,
     "Most urgent class that requests may name."},
    {"weight",
     &nv::weight,
     {1, 1000},
     "",
     uncapped,
     none,
     "Share of the account inside its class."},
    {"rate_per_s",
     &nv::rate_per_s,
     {0, 1e6},
     "requests/s",
     capped,
     none,
     "Requests a second of the node and all below it; 0: no limit."},
    {"burst", &nv::burst, any_count, "requests", capped, none,
     "Requests that may be saved up; 0: one second of the rate."},
    {"concurrency", &nv::concurrency, any_count, "requests", capped, none,
     "Requests in flight of the node and all below it; 0: no limit."},
    {"models", &nv::models, no_range, "", capped, model, "Models allowed; empty: all."},
    {"services", &nv::services, no_range, "", capped, service, "Services allowed; empty: all."},
    {"domains", &nv::domains, no_range, "", capped, domain,
     "Failure domains that may serve the node; empty: all."},
    {"default_deadline_ms", &nv::default_deadline, day_ms, "ms", uncapped, none,
     "Deadline of requests that name none; 0: they are refused."},
}};

const std::array<setting_row<sp>, 18> service_rows{{
    {"kind", &sp::kind, no_range, "", uncapped, none, "model or plain. Required."},
    {"models", &sp::models, no_range, "", uncapped, model, "Models that the service offers."},
    {"load_bound",
     &sp::load_bound,
     {1, 16},
     "",
     uncapped,
     none,
     "Multiple of the mean load that no endpoint exceeds."},
    {"min_slots", &sp::min_slots, from_one, "slots", uncapped, none, "Slots at any load."},
    {"max_in_flight", &sp::max_in_flight, from_one, "slots", uncapped, none,
     "Slots of an endpoint at most."},
    {"new_chat_headroom", &sp::new_chat_headroom, no_range, "", uncapped, none,
     "New chats are admitted up to the mean load only."},
    {"sample_size",
     &sp::sample_size,
     {1, 64},
     "endpoints",
     uncapped,
     none,
     "Endpoints whose load is asked before a new chat is placed."},
    {"warm_wait_ms",
     &sp::warm_wait,
     {0, 60'000},
     "ms",
     uncapped,
     none,
     "Longest wait of a returning chat for its warm endpoint."},
    {"ramp_start", &sp::ramp_start, from_one, "slots", uncapped, none, "Slots of a cold endpoint."},
    {"ramp_step_ms",
     &sp::ramp_step,
     {100, 600'000},
     "ms",
     uncapped,
     none,
     "Time after which the slots of a cold endpoint double."},
    {"cold_first_token_ms",
     &sp::cold_first_token,
     {0, 600'000},
     "ms",
     uncapped,
     none,
     "A later first token counts as overload; 0: never."},
    {"queue_per_endpoint", &sp::queue_per_endpoint, any_count, "requests", uncapped, none,
     "Requests that wait for one endpoint at most."},
    {"queue_per_account", &sp::queue_per_account, any_count, "requests", uncapped, none,
     "Requests of one account that wait for one endpoint at most."},
    {"class_shares",
     &sp::class_shares,
     {1, 100},
     "%",
     uncapped,
     none,
     "Shares of interactive, standard and overnight; their sum is 100."},
    {"retry_ratio", &sp::retry_ratio, {0, 1}, "", uncapped, none, "Retries earned by a request."},
    {"key_required", &sp::key_required, no_range, "", uncapped, none,
     "Non-idempotent requests must carry an idempotency key."},
    {"key_retention_s",
     &sp::key_retention,
     {60, 2'592'000},
     "s",
     uncapped,
     none,
     "Time for which an idempotency key stays claimed."},
    {"checks_fencing", &sp::checks_fencing, no_range, "", uncapped, none,
     "The endpoints refuse orders with an old fencing number."},
}};

std::string text_of(double value)
{
    return number_text(value);
}

std::string text_of(bool value)
{
    return value ? "true" : "false";
}

std::string text_of(request_class value)
{
    return absl::StrCat("\"", std::string{to_string(value)}, "\"");
}

std::string text_of(service_kind value)
{
    return value == service_kind::plain ? "\"plain\"" : "\"model\"";
}

std::string text_of(const std::vector<std::string>& value)
{
    return value.empty() ? "[]" : absl::StrCat("[\"", absl::StrJoin(value, "\", \""), "\"]");
}

std::string text_of(const std::vector<model_id>& value)
{
    return value.empty() ? "[]" : absl::StrCat(value.size(), " models");
}

std::string text_of(const std::array<std::uint32_t, request_class_count>& value)
{
    return absl::StrCat("[", absl::StrJoin(value, ", "), "]");
}

template <class Rep, class Period>
std::string text_of(std::chrono::duration<Rep, Period> value)
{
    return absl::StrCat(value.count());
}

template <class Number>
requires std::is_integral_v<Number> std::string text_of(Number value)
{
    return absl::StrCat(value);
}

template <class Owner>
std::string text_in(const setting_row<Owner>& row, const Owner& values)
{
    return std::visit([&](auto member) { return text_of(values.*member); }, row.field);
}

bool grants_more(request_class child, request_class parent)
{
    return child < parent; // Classes are ordered from the most urgent.
}

bool grants_more(const std::vector<std::string>& child, const std::vector<std::string>& parent)
{
    const auto allowed = [&](const std::string& it)
    { return std::find(parent.begin(), parent.end(), it) != parent.end(); };
    return !parent.empty() && (child.empty() || !std::all_of(child.begin(), child.end(), allowed));
}

/// Compares numbers, for which 0 means no limit. Other types have no order and are never capped.
template <class Value>
bool grants_more(const Value& child, const Value& parent)
{
    if constexpr (std::is_arithmetic_v<Value>)
    {
        return parent != Value{} && (child == Value{} || child > parent);
    }
    return false;
}

struct type_names
{
    std::string_view operator()(bool) const { return "boolean"; }
    std::string_view operator()(double) const { return "number"; }
    std::string_view operator()(std::uint16_t) const { return "integer"; }
    std::string_view operator()(std::uint32_t) const { return "integer"; }
    std::string_view operator()(milliseconds) const { return "integer"; }
    std::string_view operator()(seconds) const { return "integer"; }
    std::string_view operator()(request_class) const { return "class"; }
    std::string_view operator()(service_kind) const { return "kind"; }
    std::string_view operator()(const std::vector<std::string>&) const { return "list of names"; }
    std::string_view operator()(const std::vector<model_id>&) const { return "list of names"; }
    std::string_view operator()(const std::array<std::uint32_t, request_class_count>&) const
    {
        return "list of 3 integers";
    }
};

template <class Owner>
std::string markdown_row(const setting_row<Owner>& row)
{
    const Owner defaults;
    const auto type =
        std::visit([&](auto member) { return type_names{}(defaults.*member); }, row.field);
    const auto range = row.range == no_range ? std::string{}
                                             : absl::StrCat(number_text(row.range.lowest), " to ",
                                                            number_text(row.range.highest));
    return absl::StrCat("| `", std::string{row.key}, "` | ", std::string{type}, " | ", range, " | ",
                        std::string{row.unit}, " | `", text_in(row, defaults), "` | ",
                        row.cap == capped ? "yes" : "no", " | ", std::string{row.help}, " |\n");
}

template <class Owner>
std::string markdown_table(std::span<const setting_row<Owner>> rows)
{
    std::string result = "| key | type | range | unit | default | capped | meaning |\n"
                         "|---|---|---|---|---|---|---|\n";
    for (const auto& it : rows)
    {
        result += markdown_row(it);
    }
    return result;
}

} // namespace

std::string number_text(double value)
{
    // Integers are formatted without an exponent, as operators write them.
    return std::floor(value) == value ? absl::StrCat(static_cast<std::int64_t>(value))
                                      : absl::StrCat(value);
}

std::span<const setting_row<node_values>> node_schema() noexcept
{
    return node_rows;
}

std::span<const setting_row<service_policy>> service_schema() noexcept
{
    return service_rows;
}

std::string setting_text(const setting_row<node_values>& row, const node_values& values)
{
    return text_in(row, values);
}

void copy_setting(const setting_row<node_values>& row, const node_values& from, node_values& to)
{
    std::visit([&](auto member) { to.*member = from.*member; }, row.field);
}

bool exceeds(const setting_row<node_values>& row,
             const node_values& child,
             const node_values& parent)
{
    return row.cap == capped &&
           std::visit([&](auto member) { return grants_more(child.*member, parent.*member); },
                      row.field);
}

std::string schema_markdown()
{
    return absl::StrCat(
        "# Settings reference\n\nGenerated by `mangovanectl settings schema --markdown`.\n\n"
        "A settings text is a JSON object with `services` (name to settings), `nodes` (list of\n"
        "`path`, `parent`, `settings` and optionally `account` with `name` and `key_sha256`),\n"
        "`domains_out` and `endpoints_drained` (lists of names).\n\n## Nodes\n\n"
        "A node inherits each setting from its parent. A child cannot exceed its parent in a\n"
        "capped setting.\n\n",
        markdown_table(node_schema()), "\n## Services\n\n", markdown_table(service_schema()));
}

} // namespace mangovane
