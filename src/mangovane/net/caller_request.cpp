// Authenticates and parses the HTTP requests of callers.
#include "mangovane/net/caller_request.hpp"

#include <algorithm>
#include <charconv>
#include <exception>
#include <optional>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/net/http_serialization.hpp"
#include "mangovane/settings/digest.hpp"

namespace mangovane
{

namespace
{

namespace json = boost::json;
namespace http = boost::beast::http;

using request_head = held_head::request_head;

constexpr std::string_view chat_target = "/v1/chat/completions";
constexpr std::string_view service_prefix = "/services/";
constexpr std::size_t max_id_bytes = 256; ///< Of a request id, chat id or idempotency key.
constexpr std::uint64_t max_deadline_ms = 24ULL * 3600 * 1000;

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view field(const request_head& head, const char* name)
{
    const auto it = head.find(name);
    return it == head.end() ? std::string_view{} : view_of(it->value());
}

absl::Status malformed(std::string_view message)
{
    return make_error(error_kind::malformed_request, message);
}

const account_policy* authenticate(const request_head& head, const settings_snapshot& settings)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = field(head, "Authorization");
    if (!value.starts_with(scheme))
    {
        return nullptr;
    }
    const auto it = settings.accounts_by_key_hash.find(sha256_hex(value.substr(scheme.size())));
    return it == settings.accounts_by_key_hash.end() ? nullptr : settings.find_account(it->second);
}

absl::StatusOr<time_point>
read_deadline(const request_head& head, const account_policy& account, time_point now)
{
    const auto text = field(head, header::deadline_ms);
    if (text.empty())
    {
        if (account.default_deadline == milliseconds{0})
        {
            return make_error(error_kind::deadline_invalid,
                              absl::StrCat(header::deadline_ms, " is missing"));
        }
        return now + account.default_deadline;
    }
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size() || n == 0 || n > max_deadline_ms)
    {
        return make_error(error_kind::deadline_invalid,
                          absl::StrCat(header::deadline_ms, " must be 1 to ", max_deadline_ms));
    }
    return now + milliseconds{n};
}

/// The fields of a chat completion request that routing needs.
struct chat_body
{
    std::string model;
    std::string cache_key;
};

absl::StatusOr<chat_body> read_chat_body(const std::string& body)
{
    boost::system::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec || !value.is_object())
    {
        return malformed("the body is not a JSON object");
    }
    const auto& obj = value.as_object();
    const auto* model = obj.if_contains("model");
    const auto* messages = obj.if_contains("messages");
    if (model == nullptr || !model->is_string() || messages == nullptr || !messages->is_array())
    {
        return malformed("the body must have a string 'model' and an array 'messages'");
    }
    chat_body result;
    result.model = json::value_to<std::string>(*model);
    const auto* key = obj.if_contains("prompt_cache_key");
    if (key != nullptr && key->is_string())
    {
        result.cache_key = json::value_to<std::string>(*key);
    }
    return result;
}

const service_policy* service_of_model(const settings_snapshot& settings, model_id model)
{
    for (const auto& [id, policy] : settings.services)
    {
        for (const auto it : policy.models)
        {
            if (it == model)
            {
                return &policy;
            }
        }
    }
    return nullptr;
}

absl::Status read_chat_completion(const request_head& head,
                                  const std::string& body_text,
                                  const settings_snapshot& settings,
                                  std::string& chat,
                                  caller_request& out)
{
    if (head.method() != http::verb::post)
    {
        return malformed("chat completions require the method POST");
    }
    auto body = read_chat_body(body_text);
    if (!body.ok())
    {
        return body.status();
    }
    out.routed.model = model_id::of(body->model);
    const auto* service = service_of_model(settings, out.routed.model);
    if (service == nullptr)
    {
        return make_error(error_kind::unknown_service, "no service offers this model");
    }
    out.routed.service = service->id;
    out.service_name = service->name;
    if (chat.empty())
    {
        chat = std::move(body->cache_key);
    }
    // Without an idempotency key, a generation may be retried until its first byte has been sent to
    // the caller.
    out.routed.idempotent = out.routed.key.empty();
    return absl::OkStatus();
}

absl::Status
read_service_call(const request_head& head, const settings_snapshot& settings, caller_request& out)
{
    auto rest = view_of(head.target()).substr(service_prefix.size());
    const auto end = rest.find_first_of("/?");
    const auto name = rest.substr(0, end);
    const auto* service = settings.find_service(service_id::of(name));
    if (service == nullptr || service->kind != service_kind::plain)
    {
        return make_error(error_kind::unknown_service, "no plain service has this name");
    }
    out.routed.service = service->id;
    out.service_name = service->name;
    const auto path = end == std::string_view::npos ? std::string_view{} : rest.substr(end);
    // A query may follow the service name directly, but a request target must start with a path.
    out.endpoint_target = absl::StrCat(path.starts_with('/') ? "" : "/", std::string{path});
    out.routed.idempotent = head.method() == http::verb::get || head.method() == http::verb::head;
    return absl::OkStatus();
}

absl::Status
read_class(const request_head& head, const account_policy& account, routed_request& out)
{
    const auto text = field(head, header::priority);
    out.priority = account.default_class;
    if (text.empty())
    {
        return absl::OkStatus();
    }
    const auto value = request_class_from(text);
    if (!value)
    {
        return malformed(
            absl::StrCat(header::priority, " must be interactive, standard or overnight"));
    }
    out.priority = *value;
    return absl::OkStatus();
}

std::uint64_t fingerprint_of(const request_head& head, const std::string& body)
{
    const auto method = hash_bytes(view_of(head.method_string()));
    const auto target = hash_bytes(view_of(head.target()));
    return hash_combine(hash_combine(method, target), hash_bytes(body));
}

} // namespace

absl::StatusOr<caller_request> parse_caller_request(const request_head& head,
                                                    const std::string& body,
                                                    const settings_snapshot& settings,
                                                    time_point now)
{
    const auto* account = authenticate(head, settings);
    if (account == nullptr)
    {
        return make_error(error_kind::unauthenticated, "the caller key is missing or unknown");
    }
    caller_request result;
    result.account_name = account->name;
    result.routed.account = account->id;
    result.endpoint_target = std::string{view_of(head.target())};
    auto deadline = read_deadline(head, *account, now);
    if (!deadline.ok())
    {
        return deadline.status();
    }
    result.routed.deadline = *deadline;
    result.routed.request = std::string{field(head, header::request)};
    result.routed.key = std::string{field(head, header::idempotency_key)};
    std::string chat{field(head, header::chat)};
    if (result.routed.request.size() > max_id_bytes || result.routed.key.size() > max_id_bytes ||
        chat.size() > max_id_bytes)
    {
        return malformed("a request id, chat id or idempotency key is longer than 256 bytes");
    }
    if (auto status = read_class(head, *account, result.routed); !status.ok())
    {
        return status;
    }
    const auto target = view_of(head.target());
    absl::Status status =
        make_error(error_kind::unknown_service, "no API path matches the request target");
    if (target == chat_target)
    {
        status = read_chat_completion(head, body, settings, chat, result);
    }
    else if (target.starts_with(service_prefix))
    {
        status = read_service_call(head, settings, result);
    }
    if (!status.ok())
    {
        return status;
    }
    if (!chat.empty())
    {
        result.routed.chat = chat_id{hash_combine(result.routed.account.value(), hash_bytes(chat))};
    }
    result.routed.hint = decode_affinity(field(head, header::affinity));
    result.routed.fingerprint = fingerprint_of(head, body);
    return result;
}

held_head::request_head endpoint_head(const held_head& head, const std::string& target)
{
    auto result = head.expand();
    remove_hop_by_hop_fields(result);
    result.erase("Authorization");
    result.target(target);
    return result;
}

std::string encode_affinity(const chat_locations& locations)
{
    std::string result;
    for (const auto it : locations.endpoints)
    {
        if (!it.empty())
        {
            absl::StrAppend(&result, result.empty() ? "" : ".", absl::Hex(it.value()));
        }
    }
    return result;
}

chat_locations decode_affinity(std::string_view token)
{
    chat_locations result;
    std::size_t n = 0;
    while (!token.empty() && n != result.endpoints.size())
    {
        const auto part = token.substr(0, token.find('.'));
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(part.data(), part.data() + part.size(), value, 16);
        if (ec != std::errc{} || end != part.data() + part.size() || value == 0)
        {
            return {};
        }
        result.endpoints[n++] = endpoint_id{value};
        token.remove_prefix(std::min(part.size() + 1, token.size()));
    }
    return result;
}

std::string to_string(const attempt_id& id)
{
    return absl::StrCat(absl::Hex(id.origin.value()), "-", absl::Hex(id.epoch), "-",
                        absl::Hex(id.sequence));
}

std::string error_body(error_kind kind, std::string_view message)
{
    const auto& answer = descriptor_of(kind);
    json::object error{{"kind", json::string{answer.name}},
                       {"message", json::string{message}},
                       {"not_run", answer.not_run},
                       {"retry_safe", answer.retry_safe}};
    if (answer.retry_after_s != 0)
    {
        error["retry_after_s"] = answer.retry_after_s;
    }
    return json::serialize(json::object{{"error", std::move(error)}}) + "\n";
}

} // namespace mangovane
