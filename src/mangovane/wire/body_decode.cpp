// Implementation of the decoding of messages, with the range checks of their fields.
#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include <absl/strings/str_cat.h>

#include "mangovane/wire/body_codec.hpp"
#include "mangovane/wire/codec.hpp"

namespace mangovane::internal
{

namespace
{

constexpr std::size_t member_state_count = 4;
constexpr std::size_t slot_purpose_count = 3;
constexpr std::size_t attempt_outcome_count = 4;

attempt_id from_wire(const wire::AttemptId& it)
{
    return {instance_id{it.origin()}, it.epoch(), it.sequence()};
}

settings_stamp from_wire(const wire::SettingsStamp* it)
{
    return it == nullptr ? settings_stamp{}
                         : settings_stamp{{it->era(), it->version()}, it->digest(), it->content()};
}

std::string from_wire(const flatbuffers::String* it)
{
    return it == nullptr ? std::string{} : it->str();
}

member_update unpack_update(const wire::MemberUpdate& it)
{
    return {instance_id{it.instance()}, it.epoch(),
            it.refutations(),           static_cast<member_state>(it.state()),
            from_wire(it.name()),       from_wire(it.address()),
            domain_id{it.domain()},     from_wire(it.settings())};
}

template <class Table>
std::vector<member_update> unpack_updates(const Table& it)
{
    std::vector<member_update> result;
    if (it.updates() == nullptr)
    {
        return result;
    }
    // Decodes at most one element above the limit, to bound the allocation; the range check then
    // rejects the message.
    const auto n = std::min<std::size_t>(it.updates()->size(), max_updates_per_probe + 1);
    for (std::size_t k = 0; k != n; ++k)
    {
        result.push_back(unpack_update(*it.updates()->Get(static_cast<std::uint32_t>(k))));
    }
    return result;
}

message unpack(const wire::SlotRequest& it, time_point now)
{
    return slot_request{from_wire(*it.attempt()),
                        endpoint_id{it.endpoint()},
                        service_id{it.service()},
                        account_id{it.account()},
                        static_cast<request_class>(it.priority()),
                        it.weight(),
                        static_cast<slot_purpose>(it.purpose()),
                        deadline_from(it.wait_ms(), now),
                        deadline_from(it.remaining_ms(), now)};
}

message unpack(const wire::SlotGrant& it, time_point)
{
    return slot_grant{from_wire(*it.attempt()), endpoint_id{it.endpoint()}, it.in_flight(),
                      it.allowed()};
}

message unpack(const wire::SlotRefusal& it, time_point)
{
    return slot_refusal{from_wire(*it.attempt()), endpoint_id{it.endpoint()},
                        static_cast<slot_refusal_reason>(it.reason()), it.in_flight(),
                        it.allowed()};
}

message unpack(const wire::SlotRelease& it, time_point)
{
    return slot_release{from_wire(*it.attempt()), endpoint_id{it.endpoint()},
                        static_cast<attempt_outcome>(it.outcome()), it.first_token_ms()};
}

message unpack(const wire::SlotRenewal& it, time_point now)
{
    slot_renewal result{endpoint_id{it.endpoint()}, {}};
    if (it.slots() == nullptr)
    {
        return result;
    }
    for (const auto* slot : *it.slots())
    {
        result.slots.push_back({from_wire(slot->attempt()),
                                deadline_from(slot->remaining_ms(), now), slot->answered()});
    }
    return result;
}

message unpack(const wire::LoadQuery& it, time_point)
{
    return load_query{it.ticket(), endpoint_id{it.endpoint()}};
}

message unpack(const wire::LoadAnswer& it, time_point)
{
    return load_answer{it.ticket(), endpoint_id{it.endpoint()}, it.in_flight(), it.queued(),
                       it.allowed()};
}

message unpack(const wire::LoadReport& it, time_point)
{
    return service_load_report{service_id{it.service()}, it.in_flight(), it.ready_endpoints(),
                               it.owned_endpoints()};
}

message unpack(const wire::LoadMean& it, time_point)
{
    return load_total{service_id{it.service()}, it.total_in_flight(), it.ready_endpoints(),
                      it.known_endpoints()};
}

message unpack(const wire::ChatQuery& it, time_point)
{
    return chat_query{it.ticket(), chat_id{it.chat()}};
}

message unpack(const wire::ChatAnswer& it, time_point)
{
    const chat_locations at{{endpoint_id{it.first()}, endpoint_id{it.second()}}};
    return chat_answer{it.ticket(), chat_id{it.chat()}, at};
}

message unpack(const wire::ChatUpdate& it, time_point)
{
    return chat_update{chat_id{it.chat()}, endpoint_id{it.endpoint()}};
}

message unpack(const wire::LimitRequest& it, time_point)
{
    return limit_request{node_id{it.node()}, it.tokens(), it.running()};
}

message unpack(const wire::LimitGrant& it, time_point)
{
    return limit_grant{node_id{it.node()}, it.tokens(), it.concurrency(), it.lease_ms()};
}

message unpack(const wire::Probe& it, time_point)
{
    return probe{it.sequence(), from_wire(it.settings()), unpack_updates(it), it.joining()};
}

message unpack(const wire::ProbeAck& it, time_point)
{
    return probe_ack{it.sequence(), instance_id{it.subject()}, from_wire(it.settings()),
                     unpack_updates(it)};
}

message unpack(const wire::ProbeRequest& it, time_point)
{
    return probe_request{it.sequence(), instance_id{it.subject()}};
}

message unpack(const wire::SettingsQuery& it, time_point)
{
    return settings_query{from_wire(it.have())};
}

message unpack(const wire::SettingsContent& it, time_point)
{
    return settings_content{from_wire(it.stamp()), from_wire(it.text())};
}

message unpack(const wire::LoadDigest& it, time_point)
{
    load_digest result;
    if (it.endpoints() == nullptr)
    {
        return result;
    }
    // Decodes at most one element above the limit, to bound the allocation; the range check then
    // rejects the message.
    const auto n = std::min<std::size_t>(it.endpoints()->size(), max_digest_endpoints + 1);
    result.endpoints.reserve(n);
    for (std::size_t k = 0; k != n; ++k)
    {
        const auto* entry = it.endpoints()->Get(static_cast<std::uint32_t>(k));
        result.endpoints.push_back({endpoint_id{entry->endpoint()}, entry->in_flight(),
                                    entry->failures(), entry->successes(), entry->speed(),
                                    entry->speed_age(), entry->held_tokens()});
    }
    return result;
}

message unpack(const wire::FeedState& it, time_point)
{
    return feed_state{from_wire(it.settings()),
                      store_revision{it.endpoints_era(), it.endpoints_revision()}, it.age_ms()};
}

message unpack(const wire::EndpointQuery& it, time_point)
{
    return endpoint_query{{it.have_era(), it.have()}};
}

endpoint_row unpack_row(const wire::EndpointRow& it)
{
    return {from_wire(it.name()),
            service_id{it.service()},
            domain_id{it.domain()},
            from_wire(it.domain_name()),
            from_wire(it.address()),
            it.epoch(),
            store_revision{it.era(), it.revision()},
            it.cold_ms(),
            it.keep_ms(),
            it.leaving(),
            it.removed(),
            from_wire(it.version()),
            it.slots()};
}

message unpack(const wire::EndpointUpdate& it, time_point)
{
    endpoint_update result{
        {it.since_era(), it.since()}, {it.through_era(), it.through()}, it.part(), it.parts(), {}};
    if (it.rows() == nullptr)
    {
        return result;
    }
    // Decodes at most one element above the limit, to bound the allocation; the range check then
    // rejects the message.
    const auto n = std::min<std::size_t>(it.rows()->size(), max_update_rows + 1);
    result.rows.reserve(n);
    for (std::size_t k = 0; k != n; ++k)
    {
        result.rows.push_back(unpack_row(*it.rows()->Get(static_cast<std::uint32_t>(k))));
    }
    return result;
}

message unpack(const wire::QuarantineUpdate& it, time_point now)
{
    quarantine_update result;
    result.is_summary = it.is_summary();
    // As above, one element above each limit is decoded.
    const auto crashes = it.crashes() == nullptr ? 0 : it.crashes()->size();
    for (std::uint32_t k = 0; k != std::min<std::size_t>(crashes, max_update_crashes + 1); ++k)
    {
        const auto* entry = it.crashes()->Get(k);
        result.crashes.push_back({entry->part(), entry->crash(), moment_from(entry->age_ms(), now),
                                  deadline_from(entry->keep_ms(), now), entry->answered_before(),
                                  entry->depth()});
    }
    const auto answers = it.answers() == nullptr ? 0 : it.answers()->size();
    for (std::uint32_t k = 0; k != std::min<std::size_t>(answers, max_update_answers + 1); ++k)
    {
        const auto* entry = it.answers()->Get(k);
        result.answers.push_back({entry->part(), moment_from(entry->age_ms(), now)});
    }
    return result;
}

version_answers unpack_answers(const wire::VersionAnswers* it)
{
    version_answers result;
    if (it == nullptr)
    {
        return result;
    }
    result.failed = it->failed();
    const auto* buckets = it->buckets();
    const auto* counts = it->counts();
    const auto pairs =
        buckets == nullptr || counts == nullptr ? 0U : std::min(buckets->size(), counts->size());
    for (std::uint32_t k = 0; k != pairs; ++k)
    {
        // Buckets of a later version with a longer histogram belong into the last one.
        const std::size_t bucket =
            std::min<std::size_t>(buckets->Get(k), first_byte_histogram::bucket_count - 1);
        result.first_bytes.set_count(bucket, result.first_bytes.count(bucket) + counts->Get(k));
    }
    return result;
}

message unpack(const wire::RolloutReport& it, time_point now)
{
    rollout_report result;
    result.service = service_id{it.service()};
    result.order = {it.order_era(), it.order_number()};
    result.version = it.version()->str();
    result.state = static_cast<rollout_state>(it.state());
    result.deadline =
        it.deadline_ms() == UINT32_MAX ? time_point::max() : deadline_from(it.deadline_ms(), now);
    result.moved = it.moved();
    result.running_at_current = it.running_at_current();
    const auto routes = it.routes() == nullptr ? 0 : it.routes()->size();
    for (std::uint32_t k = 0; k != std::min<std::size_t>(routes, max_report_routes + 1); ++k)
    {
        const auto* entry = it.routes()->Get(k);
        result.routes.push_back(
            {entry->route(), unpack_answers(entry->current()), unpack_answers(entry->ordered())});
    }
    const auto endpoints = it.bad_endpoints() == nullptr ? 0 : it.bad_endpoints()->size();
    for (std::uint32_t k = 0; k != std::min<std::size_t>(endpoints, max_report_endpoints + 1); ++k)
    {
        result.bad_endpoints.emplace_back(it.bad_endpoints()->Get(k));
    }
    return result;
}

message unpack(const wire::UsageReport& it, time_point)
{
    usage_report result;
    result.service = service_id{it.service()};
    const auto accounts = it.accounts() == nullptr ? 0 : it.accounts()->size();
    for (std::uint32_t k = 0; k != std::min<std::size_t>(accounts, max_usage_accounts + 1); ++k)
    {
        const auto* entry = it.accounts()->Get(k);
        result.accounts.push_back({account_id{entry->account()}, entry->requests()});
    }
    return result;
}

using decoder = message (*)(const void*, time_point);

template <class Table>
message decode_table(const void* table, time_point now)
{
    return unpack(*static_cast<const Table*>(table), now);
}

template <class... Tables>
constexpr auto make_decoders()
{
    return std::array<decoder, sizeof...(Tables)>{&decode_table<Tables>...};
}

/// Decoders by body type, in the order of the schema's union.
constexpr auto decoders = make_decoders<wire::SlotRequest,
                                        wire::SlotGrant,
                                        wire::SlotRefusal,
                                        wire::SlotRelease,
                                        wire::SlotRenewal,
                                        wire::LoadQuery,
                                        wire::LoadAnswer,
                                        wire::LoadReport,
                                        wire::LoadMean,
                                        wire::ChatQuery,
                                        wire::ChatAnswer,
                                        wire::ChatUpdate,
                                        wire::LimitRequest,
                                        wire::LimitGrant,
                                        wire::Probe,
                                        wire::ProbeAck,
                                        wire::ProbeRequest,
                                        wire::SettingsQuery,
                                        wire::SettingsContent,
                                        wire::LoadDigest,
                                        wire::FeedState,
                                        wire::EndpointQuery,
                                        wire::EndpointUpdate,
                                        wire::QuarantineUpdate,
                                        wire::RolloutReport,
                                        wire::UsageReport>();

static_assert(decoders.size() == std::variant_size_v<message>);
static_assert(decoders.size() == static_cast<std::size_t>(wire::Body::MAX));

/// Range checks by message type; types without an overload accept all values.
struct range_check
{
    template <class T>
    [[nodiscard]] bool operator()(const T&) const
    {
        return true;
    }

    [[nodiscard]] bool operator()(const slot_request& it) const
    {
        return static_cast<std::size_t>(it.priority) < request_class_count && it.weight != 0 &&
               static_cast<std::size_t>(it.purpose) < slot_purpose_count;
    }

    [[nodiscard]] bool operator()(const slot_refusal& it) const
    {
        return static_cast<std::size_t>(it.reason) < slot_refusal_reason_count;
    }

    [[nodiscard]] bool operator()(const slot_release& it) const
    {
        return static_cast<std::size_t>(it.outcome) < attempt_outcome_count;
    }

    [[nodiscard]] bool operator()(const member_update& it) const
    {
        return static_cast<std::size_t>(it.state) < member_state_count &&
               it.name.size() <= max_member_name_bytes &&
               it.address.size() <= max_member_address_bytes;
    }

    [[nodiscard]] bool operator()(const probe& it) const { return check_updates(it.updates); }
    [[nodiscard]] bool operator()(const probe_ack& it) const { return check_updates(it.updates); }

    [[nodiscard]] bool operator()(const settings_content& it) const
    {
        return it.text.size() <= max_settings_text_bytes;
    }

    [[nodiscard]] bool operator()(const load_digest& it) const
    {
        return it.endpoints.size() <= max_digest_endpoints;
    }

    [[nodiscard]] bool operator()(const endpoint_row& it) const
    {
        return !it.name.empty() && it.name.size() <= max_endpoint_text_bytes &&
               it.domain_name.size() <= max_endpoint_text_bytes &&
               it.address.size() <= max_endpoint_text_bytes &&
               it.version.size() <= max_endpoint_text_bytes;
    }

    [[nodiscard]] bool operator()(const endpoint_update& it) const
    {
        return it.part < it.parts && it.rows.size() <= max_update_rows &&
               std::all_of(it.rows.begin(), it.rows.end(), *this);
    }

    [[nodiscard]] bool operator()(const quarantine_update& it) const
    {
        return it.crashes.size() <= max_update_crashes && it.answers.size() <= max_update_answers;
    }

    [[nodiscard]] bool operator()(const rollout_report& it) const
    {
        return !it.version.empty() && it.version.size() <= max_report_version_bytes &&
               it.order.known() && static_cast<std::size_t>(it.state) < rollout_state_count &&
               it.routes.size() <= max_report_routes &&
               it.bad_endpoints.size() <= max_report_endpoints;
    }

    [[nodiscard]] bool operator()(const usage_report& it) const
    {
        return it.accounts.size() <= max_usage_accounts &&
               std::all_of(it.accounts.begin(), it.accounts.end(),
                           [](const account_use& entry)
                           { return entry.requests <= max_reported_requests; });
    }

    [[nodiscard]] bool check_updates(const std::vector<member_update>& updates) const
    {
        return updates.size() <= max_updates_per_probe &&
               std::all_of(updates.begin(), updates.end(), *this);
    }
};

} // namespace

absl::Status check_message(const message& msg)
{
    if (!std::visit(range_check{}, msg))
    {
        return absl::InvalidArgumentError(absl::StrCat(
            "a field of message ", wire::EnumNameBody(body_type_of(msg)), " is out of range"));
    }
    return absl::OkStatus();
}

absl::StatusOr<message> decode_body(wire::Body type, const void* table, time_point now)
{
    // Type 0 is NONE, the empty value of the union.
    const auto n = static_cast<std::size_t>(type);
    if (n == 0 || n > decoders.size() || table == nullptr)
    {
        return absl::InvalidArgumentError(absl::StrCat("message type ", n, " is not supported"));
    }
    auto result = decoders[n - 1](table, now);
    if (auto status = check_message(result); !status.ok())
    {
        return status;
    }
    return result;
}

} // namespace mangovane::internal
