// Implementation of the request and response texts.
#include "soak/call_text.hpp"

#include <array>

#include <absl/strings/str_cat.h>

namespace mangovane::soak
{

namespace
{

/// Indexed by `call_kind`.
constexpr std::array route_names{"grant", "status", "review", "rights", "v"};

std::string route_of(const std::string& request)
{
    return request.substr(0, request.find('-'));
}

} // namespace

std::string
make_request_id(call_kind kind, std::uint64_t version, std::size_t caller, std::uint64_t number)
{
    const auto* name = route_names[static_cast<std::size_t>(kind)];
    return kind == call_kind::probe ? absl::StrCat(name, version, "-", caller, "-", number)
                                    : absl::StrCat(name, "-", caller, "-", number);
}

std::string target_of(const std::string& request)
{
    return absl::StrCat("/", route_of(request), "/7?x=", request);
}

std::string body_of(const std::string& request)
{
    // Status and probe requests use GET, which has no body.
    const auto route = route_of(request);
    const bool has_body = route == "grant" || route == "review" || route == "rights";
    return has_body ? "the body of " + request : "";
}

std::string response_body_of(call_kind kind, const std::string& request)
{
    if (kind != call_kind::plain_stream && kind != call_kind::resumable_stream)
    {
        return "done " + request;
    }
    std::string result;
    for (std::uint32_t n = 1; n <= stream_events; ++n)
    {
        absl::StrAppend(&result, "id: ", n, "\ndata: ", request, "-", n, "\n\n");
    }
    return result;
}

} // namespace mangovane::soak
