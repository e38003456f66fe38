// Implementation of the request and response texts.
#include "soak/call_text.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include <absl/strings/str_cat.h>

#include "mangovane/core/hash.hpp"

namespace mangovane::soak
{

namespace
{

/// Indexed by `call_kind`.
constexpr std::array<std::string_view, 9> route_names{"grant",  "status",  "review", "rights", "v",
                                                      "ledger", "minutes", "only",   "turn"};

constexpr standin::engine_work short_work{stream_events, milliseconds{30}, milliseconds{20}};

/// Long work is drawn between these bounds. The upper one leaves time for the way of the response
/// before the timeout of the route.
constexpr milliseconds min_long_work{50};
constexpr milliseconds max_long_work{11500};
constexpr std::uint64_t brief_interval = 4; ///< One request in this many has brief work.
constexpr milliseconds max_brief_work{1000};

constexpr const char* uncontrolled_prefix = "ledger-u";
constexpr milliseconds uncontrolled_work{1500};

constexpr milliseconds deadline_margin{1000};
constexpr milliseconds medium_deadline{4000};

milliseconds between(std::uint64_t random, milliseconds low, milliseconds high)
{
    const auto span = static_cast<std::uint64_t>((high - low).count());
    return low + milliseconds{random % span};
}

/// Total work of a request with long work.
milliseconds long_work_of(const std::string& request)
{
    const auto random = hash_bytes(request);
    const bool brief = random % brief_interval == 0;
    return between(random / brief_interval, min_long_work, brief ? max_brief_work : max_long_work);
}

/// Kind and version, as in the id.
std::string route_of(const std::string& request)
{
    return request.substr(0, request.find('-'));
}

/// The version at the end of `route_of`; empty if the request depends on none.
std::string version_of(const std::string& request)
{
    const auto route = route_of(request);
    return route.substr(route.find_last_not_of("0123456789") + 1);
}

void insert_after(std::string& text, std::string_view place, const std::string& added)
{
    text.insert(text.find(place) + place.size(), added);
}

} // namespace

std::string make_uncontrolled_id(std::size_t caller, std::uint64_t number)
{
    return absl::StrCat(uncontrolled_prefix, caller, "-", number);
}

bool is_uncontrolled(const std::string& request)
{
    return request.starts_with(uncontrolled_prefix);
}

std::string
make_request_id(call_kind kind, std::uint64_t version, std::size_t caller, std::uint64_t number)
{
    const auto name = std::string{route_names[static_cast<std::size_t>(kind)]};
    return depends_on_version(kind) ? absl::StrCat(name, version, "-", caller, "-", number)
                                    : absl::StrCat(name, "-", caller, "-", number);
}

call_kind kind_of(const std::string& request)
{
    auto name = route_of(request);
    name.resize(name.size() - version_of(request).size());
    const auto it = std::find(route_names.begin(), route_names.end(), name);
    return it == route_names.end() ? call_kind::probe
                                   : static_cast<call_kind>(it - route_names.begin());
}

standin::engine_work work_of(const std::string& request)
{
    if (is_uncontrolled(request))
    {
        return {0, milliseconds{0}, uncontrolled_work};
    }
    const auto kind = kind_of(request);
    if (!has_long_work(kind))
    {
        return short_work;
    }
    const auto total = long_work_of(request);
    if (!is_stream(kind))
    {
        return {0, milliseconds{0}, total};
    }
    const auto interval = total / (long_stream_events + 1);
    return {long_stream_events, interval, interval};
}

milliseconds deadline_of(const std::string& request)
{
    if (!has_long_work(kind_of(request)))
    {
        return request_deadline;
    }
    const std::array choices{long_work_of(request) + deadline_margin, medium_deadline,
                             long_route_timeout, long_route_timeout};
    const auto choice = hash_combine(hash_bytes(request), 1) % choices.size();
    return std::min(choices.at(choice), long_route_timeout);
}

bool fails_at_bad_version(const std::string& request)
{
    return hash_combine(hash_bytes(request), 2) % 2 == 0;
}

std::string target_of(const std::string& request)
{
    const bool common = kind_of(request) == call_kind::removed_key;
    return absl::StrCat("/", common ? "status" : route_of(request), "/7?x=", request);
}

std::string key_of(const std::string& request)
{
    return kind_of(request) == call_kind::removed_key ? route_of(request) : "key-1";
}

std::string with_own_parts(std::string configuration, std::uint64_t version)
{
    insert_after(configuration, R"("routes":[)",
                 absl::StrCat(R"({"name":"only)", version, R"(","host":"desk.example","prefix":)",
                              R"("/only)", version, R"(/","type":"idempotent","timeout_ms":800,)",
                              R"("goal_ms":300,"service":"ventanilla","max_attempts":2},)"));
    insert_after(configuration, R"("key-1")", absl::StrCat(R"(,"turn)", version, "\""));
    return configuration;
}

std::string body_of(const std::string& request)
{
    // Status requests and those that depend on a version use GET, which has no body.
    const auto kind = kind_of(request);
    const bool has_body = kind != call_kind::idempotent && !depends_on_version(kind);
    return has_body ? "the body of " + request : "";
}

std::string response_body_of(const std::string& request)
{
    const auto kind = kind_of(request);
    if (!is_stream(kind))
    {
        return "done " + request;
    }
    std::string result;
    for (std::uint32_t n = 1; n <= work_of(request).events; ++n)
    {
        absl::StrAppend(&result, "id: ", n, "\ndata: ", request, "-", n, "\n\n");
    }
    return result;
}

} // namespace mangovane::soak
