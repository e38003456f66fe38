// Implementation of the encoding of messages.
#include <array>
#include <utility>
#include <variant>
#include <vector>

#include "mangovane/wire/body_codec.hpp"

namespace mangovane::internal
{

namespace
{

using builder = flatbuffers::FlatBufferBuilder;

wire::AttemptId to_wire(const attempt_id& it)
{
    return {it.origin.value(), it.epoch, it.sequence};
}

wire::SettingsStamp to_wire(const settings_stamp& it)
{
    return {it.version.number, it.digest, it.version.era, it.content};
}

template <class Enum>
std::uint8_t number(Enum value)
{
    return static_cast<std::uint8_t>(value);
}

/// Creates a string; an empty one is omitted from the table.
flatbuffers::Offset<flatbuffers::String> text(builder& buf, const std::string& value)
{
    return value.empty() ? flatbuffers::Offset<flatbuffers::String>{} : buf.CreateString(value);
}

flatbuffers::Offset<wire::MemberUpdate> pack_update(builder& buf, const member_update& it)
{
    const auto name = text(buf, it.name);
    const auto address = text(buf, it.address);
    const auto stamp = to_wire(it.settings);
    return wire::CreateMemberUpdate(buf, it.instance.value(), it.epoch, it.refutations,
                                    number(it.state), name, address, it.domain.value(),
                                    it.settings == settings_stamp{} ? nullptr : &stamp);
}

auto pack_updates(builder& buf, const std::vector<member_update>& updates)
{
    std::vector<flatbuffers::Offset<wire::MemberUpdate>> offsets;
    for (const auto& it : updates)
    {
        offsets.push_back(pack_update(buf, it));
    }
    using result = decltype(buf.CreateVector(offsets));
    return offsets.empty() ? result{} : buf.CreateVector(offsets);
}

auto pack(builder& buf, const slot_request& it, time_point now)
{
    const auto attempt = to_wire(it.attempt);
    return wire::CreateSlotRequest(buf, &attempt, it.endpoint.value(), it.service.value(),
                                   it.account.value(), number(it.priority), it.weight,
                                   number(it.purpose), remaining_ms(it.wait_until, now),
                                   remaining_ms(it.deadline, now));
}

auto pack(builder& buf, const slot_grant& it, time_point)
{
    const auto attempt = to_wire(it.attempt);
    return wire::CreateSlotGrant(buf, &attempt, it.endpoint.value(), it.in_flight, it.allowed);
}

auto pack(builder& buf, const slot_refusal& it, time_point)
{
    const auto attempt = to_wire(it.attempt);
    return wire::CreateSlotRefusal(buf, &attempt, it.endpoint.value(), number(it.reason),
                                   it.in_flight, it.allowed);
}

auto pack(builder& buf, const slot_release& it, time_point)
{
    const auto attempt = to_wire(it.attempt);
    return wire::CreateSlotRelease(buf, &attempt, it.endpoint.value(), number(it.outcome),
                                   it.first_token_ms);
}

auto pack(builder& buf, const slot_renewal& it, time_point now)
{
    std::vector<wire::HeldSlot> slots;
    for (const auto& slot : it.slots)
    {
        slots.emplace_back(to_wire(slot.attempt), remaining_ms(slot.deadline, now), slot.answered);
    }
    const auto vector = buf.CreateVectorOfStructs(slots);
    return wire::CreateSlotRenewal(buf, it.endpoint.value(), vector);
}

auto pack(builder& buf, const load_query& it, time_point)
{
    return wire::CreateLoadQuery(buf, it.ticket, it.endpoint.value());
}

auto pack(builder& buf, const load_answer& it, time_point)
{
    return wire::CreateLoadAnswer(buf, it.ticket, it.endpoint.value(), it.in_flight, it.queued,
                                  it.allowed);
}

auto pack(builder& buf, const service_load_report& it, time_point)
{
    return wire::CreateLoadReport(buf, it.service.value(), it.in_flight, it.ready_endpoints,
                                  it.owned_endpoints);
}

auto pack(builder& buf, const load_total& it, time_point)
{
    return wire::CreateLoadMean(buf, it.service.value(), it.total_in_flight, it.ready_endpoints,
                                it.known_endpoints);
}

auto pack(builder& buf, const chat_query& it, time_point)
{
    return wire::CreateChatQuery(buf, it.ticket, it.chat.value());
}

auto pack(builder& buf, const chat_answer& it, time_point)
{
    static_assert(locations_per_chat == 2);
    const auto& at = it.locations.endpoints;
    return wire::CreateChatAnswer(buf, it.ticket, it.chat.value(), at[0].value(), at[1].value());
}

auto pack(builder& buf, const chat_update& it, time_point)
{
    return wire::CreateChatUpdate(buf, it.chat.value(), it.endpoint.value());
}

auto pack(builder& buf, const limit_request& it, time_point)
{
    return wire::CreateLimitRequest(buf, it.node.value(), it.tokens, it.running);
}

auto pack(builder& buf, const limit_grant& it, time_point)
{
    return wire::CreateLimitGrant(buf, it.node.value(), it.tokens, it.concurrency, it.lease_ms);
}

auto pack(builder& buf, const probe& it, time_point)
{
    const auto updates = pack_updates(buf, it.updates);
    const auto stamp = to_wire(it.settings);
    return wire::CreateProbe(buf, it.sequence, &stamp, updates, it.joining);
}

auto pack(builder& buf, const probe_ack& it, time_point)
{
    const auto updates = pack_updates(buf, it.updates);
    const auto stamp = to_wire(it.settings);
    return wire::CreateProbeAck(buf, it.sequence, it.subject.value(), &stamp, updates);
}

auto pack(builder& buf, const probe_request& it, time_point)
{
    return wire::CreateProbeRequest(buf, it.sequence, it.subject.value());
}

auto pack(builder& buf, const settings_query& it, time_point)
{
    const auto stamp = to_wire(it.known_stamp);
    return wire::CreateSettingsQuery(buf, &stamp);
}

auto pack(builder& buf, const settings_content& it, time_point)
{
    const auto content = buf.CreateString(it.text);
    const auto stamp = to_wire(it.stamp);
    return wire::CreateSettingsContent(buf, &stamp, content);
}

auto pack(builder& buf, const load_digest& it, time_point)
{
    std::vector<wire::EndpointDigest> entries;
    entries.reserve(it.endpoints.size());
    for (const auto& entry : it.endpoints)
    {
        entries.emplace_back(entry.endpoint.value(), entry.in_flight, entry.failures,
                             entry.successes, entry.speed, entry.speed_age, entry.held_tokens);
    }
    const auto vector = buf.CreateVectorOfStructs(entries);
    return wire::CreateLoadDigest(buf, vector);
}

auto pack(builder& buf, const feed_state& it, time_point)
{
    const auto stamp = to_wire(it.settings);
    return wire::CreateFeedState(buf, &stamp, it.endpoints_revision.number, it.age_ms,
                                 it.endpoints_revision.era);
}

auto pack(builder& buf, const endpoint_query& it, time_point)
{
    return wire::CreateEndpointQuery(buf, it.known_revision.number, it.known_revision.era);
}

flatbuffers::Offset<wire::EndpointRow> pack_row(builder& buf, const endpoint_row& it)
{
    const auto name = buf.CreateString(it.name);
    const auto domain_name = text(buf, it.domain_name);
    const auto address = text(buf, it.address);
    const auto version = text(buf, it.version);
    return wire::CreateEndpointRow(buf, name, it.service.value(), it.domain.value(), domain_name,
                                   address, it.epoch, it.revision.number, it.cold_ms, it.keep_ms,
                                   it.leaving, it.removed, version, it.slots, it.revision.era);
}

auto pack(builder& buf, const endpoint_update& it, time_point)
{
    std::vector<flatbuffers::Offset<wire::EndpointRow>> rows;
    rows.reserve(it.rows.size());
    for (const auto& row : it.rows)
    {
        rows.push_back(pack_row(buf, row));
    }
    const auto vector = buf.CreateVector(rows);
    return wire::CreateEndpointUpdate(buf, it.since.number, it.through.number, it.part, it.parts,
                                      vector, it.since.era, it.through.era);
}

auto pack(builder& buf, const quarantine_update& it, time_point now)
{
    std::vector<wire::CrashEvidence> crashes;
    crashes.reserve(it.crashes.size());
    for (const auto& entry : it.crashes)
    {
        crashes.emplace_back(entry.part, entry.crash, elapsed_ms(entry.at, now),
                             remaining_ms(entry.keep_until, now), entry.answered_before,
                             entry.depth);
    }
    std::vector<wire::PartAnswer> answers;
    answers.reserve(it.answers.size());
    for (const auto& entry : it.answers)
    {
        answers.emplace_back(entry.part, elapsed_ms(entry.at, now));
    }
    const auto crash_vector = buf.CreateVectorOfStructs(crashes);
    const auto answer_vector = buf.CreateVectorOfStructs(answers);
    return wire::CreateQuarantineUpdate(buf, crash_vector, answer_vector, it.is_summary);
}

flatbuffers::Offset<wire::VersionAnswers> pack_answers(builder& buf, const version_answers& it)
{
    std::vector<std::uint8_t> buckets;
    std::vector<std::uint32_t> counts;
    for (std::size_t n = 0; n != first_byte_histogram::bucket_count; ++n)
    {
        if (it.first_bytes.count(n) != 0)
        {
            buckets.push_back(static_cast<std::uint8_t>(n));
            counts.push_back(it.first_bytes.count(n));
        }
    }
    const auto bucket_vector = buf.CreateVector(buckets);
    const auto count_vector = buf.CreateVector(counts);
    return wire::CreateVersionAnswers(buf, it.failed, bucket_vector, count_vector);
}

auto pack(builder& buf, const usage_report& it, time_point)
{
    std::vector<wire::AccountUse> accounts;
    accounts.reserve(it.accounts.size());
    for (const auto& entry : it.accounts)
    {
        accounts.emplace_back(entry.account.value(), entry.requests);
    }
    return wire::CreateUsageReport(buf, it.service.value(), buf.CreateVectorOfStructs(accounts));
}

auto pack(builder& buf, const rollout_report& it, time_point now)
{
    std::vector<flatbuffers::Offset<wire::RouteAnswers>> routes;
    routes.reserve(it.routes.size());
    for (const auto& entry : it.routes)
    {
        const auto current = pack_answers(buf, entry.current);
        const auto ordered = pack_answers(buf, entry.ordered);
        routes.push_back(wire::CreateRouteAnswers(buf, entry.route, current, ordered));
    }
    std::vector<std::uint64_t> endpoints;
    endpoints.reserve(it.bad_endpoints.size());
    for (const auto endpoint : it.bad_endpoints)
    {
        endpoints.push_back(endpoint.value());
    }
    const auto version = buf.CreateString(it.version);
    const auto route_vector = buf.CreateVector(routes);
    const auto endpoint_vector = buf.CreateVector(endpoints);
    // The largest remaining time, `UINT32_MAX`, states an unknown deadline.
    return wire::CreateRolloutReport(buf, it.service.value(), it.order.era, it.order.number,
                                     version, number(it.state), remaining_ms(it.deadline, now),
                                     it.moved, it.running_at_current, route_vector,
                                     endpoint_vector);
}

using encoder = body_offset (*)(builder&, const message&, time_point);

template <std::size_t N>
body_offset encode_alternative(builder& buf, const message& msg, time_point now)
{
    return pack(buf, std::get<N>(msg), now).Union();
}

template <std::size_t... N>
constexpr auto make_encoders(std::index_sequence<N...>)
{
    return std::array<encoder, sizeof...(N)>{&encode_alternative<N>...};
}

constexpr auto encoders = make_encoders(std::make_index_sequence<std::variant_size_v<message>>{});

} // namespace

wire::Body body_type_of(const message& msg) noexcept
{
    return static_cast<wire::Body>(msg.index() + 1);
}

body_offset encode_body(builder& buf, const message& msg, time_point now)
{
    return encoders[msg.index()](buf, msg, now);
}

} // namespace mangovane::internal
