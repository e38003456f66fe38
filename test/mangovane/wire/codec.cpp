// Tests of the frame codec: each message decodes to what was encoded, and malformed frames are
// rejected. A frame is untrusted input: one that is truncated, corrupted or forged must neither
// read out of bounds nor allocate far more memory than its length.
#include "mangovane/wire/codec.hpp"

#include <doctest/doctest.h>

#include "mangovane/wire/frame_generated.h"

using namespace mangovane;

namespace
{

const time_point now{seconds{1000}};
const attempt_id attempt{instance_id{1}, 2, 3};

member_update update(std::uint64_t n)
{
    return {instance_id{n}, 7,      1, member_state::suspect, "router-1", "127.0.0.1:7000",
            domain_id{5},   {9, 11}};
}

rollout_report report_example()
{
    route_answers route{21, {3, {}}, {4, {}}};
    route.current.first_bytes.set_count(0, 70'000);
    route.current.first_bytes.set_count(first_byte_histogram::bucket_count - 1, 2);
    route.ordered.first_bytes.set_count(9, 5);
    return {service_id{1},
            {2, 3},
            "v2",
            rollout_state::rolled_back,
            now + seconds{12},
            true,
            6,
            {route, {22, {}, {}}},
            {endpoint_id{8}, endpoint_id{9}}};
}

std::vector<message> all_messages()
{
    const time_point later = now + milliseconds{1500};
    return {slot_request{attempt, endpoint_id{4}, service_id{5}, account_id{6},
                         request_class::overnight, 3, slot_purpose::overflow, later,
                         later + seconds{20}},
            slot_grant{attempt, endpoint_id{4}, 5, 6},
            slot_refusal{attempt, endpoint_id{4}, slot_refusal_reason::unknown_endpoint, 5, 6},
            slot_release{attempt, endpoint_id{4}, attempt_outcome::cancelled, 120},
            slot_renewal{endpoint_id{4}, {{attempt, later}, {attempt, now}}},
            load_query{1, endpoint_id{2}},
            load_answer{1, endpoint_id{2}, 3, 4, 5},
            service_load_report{service_id{1}, 2, 3, 4},
            load_total{service_id{1}, 2, 3, 4},
            chat_query{1, chat_id{2}},
            chat_answer{1, chat_id{2}, {{endpoint_id{3}, endpoint_id{4}}}},
            chat_update{chat_id{1}, endpoint_id{2}},
            limit_request{node_id{1}, 2, 3},
            limit_grant{node_id{1}, 2, 3, 200},
            probe{1, {2, 3}, {update(1), member_update{instance_id{2}, 3}}, true},
            probe_ack{1, instance_id{2}, {2, 3}, {update(4)}},
            probe_request{1, instance_id{2}},
            settings_query{{1, 2}},
            settings_content{{1, 2}, "{}"},
            load_digest{{{endpoint_id{1}, 2, 3, 4, 50, 6, 700}, {endpoint_id{5}, 6, 0, 0}}},
            feed_state{{{5, 1}, 2, 7}, {5, 3}, 4},
            endpoint_query{{5, 1}},
            endpoint_update{{5, 1},
                            {5, 2},
                            0,
                            1,
                            {{"engine-1",
                              service_id{3},
                              domain_id{4},
                              "ikeja-a",
                              "10.0.0.1:80",
                              5,
                              {5, 6},
                              7,
                              8,
                              true,
                              false,
                              "v2",
                              64}}},
            quarantine_update{
                {{1, 2, now - milliseconds{30}, later, true, 2}, {3, 4, now, now, false, 0}},
                {{5, now - milliseconds{60}}},
                true},
            report_example(),
            usage_report{service_id{3}, {{account_id{4}, 17}, {account_id{5}, 1}}}};
}

frame frame_of(std::vector<message> messages)
{
    return {instance_id{77}, 1234, std::nullopt, std::move(messages)};
}

/// Encodes a frame and strips its length prefix.
std::string body_of(const frame& value)
{
    const auto bytes = encode_frame(value, now);
    REQUIRE(bytes.ok());
    return bytes->substr(frame_prefix_bytes);
}

absl::StatusCode refusal(const std::string& bytes)
{
    return decode_frame(bytes, now).status().code();
}

std::string finished(flatbuffers::FlatBufferBuilder& buf, flatbuffers::Offset<wire::Frame> root)
{
    buf.Finish(root);
    return {reinterpret_cast<const char*>(buf.GetBufferPointer()), buf.GetSize()};
}

/// A frame with one body that `encode_frame` never produces.
std::string forged(std::uint16_t version,
                   std::uint8_t type,
                   flatbuffers::Offset<void> (*body)(flatbuffers::FlatBufferBuilder&))
{
    flatbuffers::FlatBufferBuilder buf;
    const std::vector<flatbuffers::Offset<void>> bodies{body(buf)};
    const auto types = buf.CreateVector(std::vector<std::uint8_t>{type});
    const auto vector = buf.CreateVector(bodies);
    return finished(buf, wire::CreateFrame(buf, version, 1, 1, 0, types.o, vector));
}

} // namespace

TEST_CASE("a frame")
{
    SUBCASE("decodes each message type to what was encoded (guards against swapped fields)")
    {
        const auto messages = all_messages();
        REQUIRE(messages.size() == std::variant_size_v<message>);
        for (std::size_t k = 0; k != messages.size(); ++k)
        {
            CAPTURE(k);
            REQUIRE(messages[k].index() == k);
            const auto sent = frame_of({messages[k]});
            CHECK(decode_frame(body_of(sent), now).value() == sent);
        }
    }

    SUBCASE("carries a batch of messages and a hello")
    {
        auto messages = all_messages();
        // A frame with settings must contain no other message.
        std::erase_if(messages, [](const message& it)
                      { return std::holds_alternative<settings_content>(it); });
        auto sent = frame_of(messages);
        sent.sender_hello = hello{"router-1", "127.0.0.1:7000", instance_id{5}, {1, 2, 3}};
        CHECK(decode_frame(body_of(sent), now).value() == sent);

        SUBCASE("after a prefix with its length")
        {
            const auto bytes = encode_frame(sent, now).value();
            std::array<std::uint8_t, 4> prefix{};
            std::copy_n(bytes.begin(), 4, prefix.begin());
            CHECK(read_frame_length(prefix, max_frame_bytes).value() == bytes.size() - 4);
            CHECK_FALSE(read_frame_length(prefix, bytes.size() - 5).ok());
            CHECK_FALSE(read_frame_length({0, 0, 0, 0}, max_frame_bytes).ok());
        }
    }

    SUBCASE("converts deadlines between clocks (guards against absolute times on the wire)")
    {
        const time_point there{seconds{5}};
        const message sent = slot_renewal{endpoint_id{1}, {{attempt, now + milliseconds{700}}}};
        const auto got = decode_frame(body_of(frame_of({sent})), there).value();
        CHECK(std::get<slot_renewal>(got.messages.at(0)).slots.at(0).deadline ==
              there + milliseconds{700});
    }

    SUBCASE("keeps an unknown deadline unknown (guards against a rollout that ends in 49 days)")
    {
        auto report = report_example();
        report.deadline = time_point::max();
        const auto sent = frame_of({report});
        CHECK(decode_frame(body_of(sent), now + seconds{5}).value() == sent);
    }

    SUBCASE("has a limit on its size")
    {
        const std::vector<held_slot> slots(2000, held_slot{attempt, now});
        const message renewal = slot_renewal{endpoint_id{1}, slots};
        CHECK(encode_frame(frame_of({renewal, renewal}), now).status().code() ==
              absl::StatusCode::kResourceExhausted);

        SUBCASE("that allows 3 MB of settings, alone in their frame")
        {
            const message big = settings_content{{1, 2}, std::string(max_settings_text_bytes, 'x')};
            const auto sent = frame_of({big});
            CHECK(decode_frame(body_of(sent), now).value() == sent);
            CHECK_FALSE(encode_frame(frame_of({big, big}), now).ok());
            const message over =
                settings_content{{1, 2}, std::string(max_settings_text_bytes + 1, 'x')};
            CHECK_FALSE(encode_frame(frame_of({over}), now).ok());
        }
    }
}

TEST_CASE("an invalid frame is rejected")
{
    SUBCASE("truncated anywhere in its first half")
    {
        for (const auto& msg : all_messages())
        {
            const auto bytes = body_of(frame_of({msg}));
            for (std::size_t n = 0; n < bytes.size() / 2; ++n)
            {
                CHECK_FALSE(decode_frame(bytes.substr(0, n), now).ok());
            }
        }
    }

    SUBCASE("with any corrupted byte, unless it still decodes to valid messages")
    {
        for (const auto& msg : all_messages())
        {
            const auto bytes = body_of(frame_of({msg}));
            for (std::size_t n = 0; n != bytes.size(); ++n)
            {
                auto broken = bytes;
                broken[n] = static_cast<char>(broken[n] ^ 0xff);
                const auto got = decode_frame(broken, now);
                // A changed number may be valid; a decoded frame must be encodable again.
                CHECK((!got.ok() || encode_frame(*got, now).ok()));
            }
        }
    }

    SUBCASE("of an unknown version")
    {
        const auto bytes =
            forged(frame_version + 1, 6,
                   [](auto& buf) { return wire::CreateLoadQuery(buf, 1, 2).Union(); });
        CHECK(refusal(bytes) == absl::StatusCode::kUnimplemented);
    }

    SUBCASE("with an unknown or empty message type")
    {
        const auto body = [](flatbuffers::FlatBufferBuilder& buf)
        { return wire::CreateLoadQuery(buf, 1, 2).Union(); };
        CHECK(refusal(forged(frame_version, 20, body)) == absl::StatusCode::kInvalidArgument);
        CHECK(refusal(forged(frame_version, 0, body)) == absl::StatusCode::kInvalidArgument);
    }

    SUBCASE("with an enumeration out of range (guards against undefined enumerators in the code)")
    {
        static const wire::AttemptId id{1, 2, 3};
        CHECK_FALSE(
            decode_frame(
                forged(frame_version, 1,
                       [](auto& buf)
                       { return wire::CreateSlotRequest(buf, &id, 1, 1, 1, 3, 1, 0).Union(); }),
                now)
                .ok());
        CHECK_FALSE(
            decode_frame(
                forged(frame_version, 1,
                       [](auto& buf)
                       { return wire::CreateSlotRequest(buf, &id, 1, 1, 1, 0, 1, 3).Union(); }),
                now)
                .ok());
        CHECK_FALSE(
            decode_frame(
                forged(frame_version, 1,
                       [](auto& buf)
                       { return wire::CreateSlotRequest(buf, &id, 1, 1, 1, 0, 0, 0).Union(); }),
                now)
                .ok());
        CHECK_FALSE(decode_frame(forged(frame_version, 3,
                                        [](auto& buf) {
                                            return wire::CreateSlotRefusal(
                                                       buf, &id, 1, slot_refusal_reason_count)
                                                .Union();
                                        }),
                                 now)
                        .ok());
        CHECK_FALSE(decode_frame(forged(frame_version, 4,
                                        [](auto& buf) {
                                            return wire::CreateSlotRelease(buf, &id, 1, 4).Union();
                                        }),
                                 now)
                        .ok());
    }

    SUBCASE("with a rollout report out of range")
    {
        const auto is_refused = [](auto change)
        {
            auto report = report_example();
            change(report);
            return !encode_frame(frame_of({report}), now).ok();
        };
        CHECK_FALSE(is_refused([](rollout_report&) {}));
        CHECK(is_refused([](rollout_report& it) { it.version.clear(); }));
        CHECK(is_refused([](rollout_report& it) { it.order = {}; }));
        CHECK(is_refused([](rollout_report& it) { it.state = rollout_state{3}; }));
        CHECK(is_refused([](rollout_report& it) { it.routes.resize(max_report_routes + 1); }));
        CHECK(is_refused([](rollout_report& it)
                         { it.bad_endpoints.resize(max_report_endpoints + 1); }));

        SUBCASE("or with a bucket that no histogram has (guards against a write out of bounds)")
        {
            const auto body = [](flatbuffers::FlatBufferBuilder& buf)
            {
                const auto buckets = buf.CreateVector(std::vector<std::uint8_t>{255, 3});
                const auto counts = buf.CreateVector(std::vector<std::uint32_t>{7});
                const auto answers = wire::CreateVersionAnswers(buf, 0, buckets, counts);
                const auto routes =
                    buf.CreateVector(std::vector{wire::CreateRouteAnswers(buf, 1, answers)});
                const auto version = buf.CreateString("v2");
                return wire::CreateRolloutReport(buf, 1, 0, 1, version, 0, 0, false, 0, routes)
                    .Union();
            };
            const auto got = decode_frame(forged(frame_version, 25, body), now);
            REQUIRE(got.ok());
            const auto& report = std::get<rollout_report>(got->messages.at(0));
            CHECK(report.routes.at(0).current.first_bytes.above(24) == 7);
            CHECK(report.routes.at(0).current.total() == 7);
        }
    }

    SUBCASE("with a use by accounts that is out of range")
    {
        const auto is_refused = [](std::size_t accounts, std::uint32_t requests)
        {
            const usage_report report{
                service_id{3}, std::vector<account_use>(accounts, {account_id{1}, requests})};
            return !encode_frame(frame_of({report}), now).ok();
        };
        CHECK_FALSE(is_refused(max_usage_accounts, max_reported_requests));
        CHECK(is_refused(max_usage_accounts + 1, 1));
        CHECK(is_refused(1, max_reported_requests + 1));
    }

    SUBCASE("with too many member updates in a probe, or one out of range")
    {
        const auto body = [](flatbuffers::FlatBufferBuilder& buf)
        {
            std::vector<flatbuffers::Offset<wire::MemberUpdate>> updates;
            for (std::uint64_t k = 0; k != max_updates_per_probe + 1; ++k)
            {
                updates.push_back(wire::CreateMemberUpdate(buf, k));
            }
            return wire::CreateProbe(buf, 1, nullptr, buf.CreateVector(updates)).Union();
        };
        CHECK(refusal(forged(frame_version, 15, body)) == absl::StatusCode::kInvalidArgument);
        const auto state = [](flatbuffers::FlatBufferBuilder& buf)
        {
            const std::vector updates{wire::CreateMemberUpdate(buf, 1, 1, 0, 4)};
            return wire::CreateProbe(buf, 1, nullptr, buf.CreateVector(updates)).Union();
        };
        CHECK(refusal(forged(frame_version, 15, state)) == absl::StatusCode::kInvalidArgument);
    }

    SUBCASE("with one vector of slots that many renewals refer to (guards against memory "
            "exhaustion by a small frame)")
    {
        flatbuffers::FlatBufferBuilder buf;
        const std::vector<wire::HeldSlot> slots(1000, wire::HeldSlot{{1, 2, 3}, 4, false});
        const auto renewal =
            wire::CreateSlotRenewal(buf, 1, buf.CreateVectorOfStructs(slots)).Union();
        const std::vector<flatbuffers::Offset<void>> bodies(1000, renewal);
        const auto types = buf.CreateVector(std::vector<std::uint8_t>(1000, 5));
        const auto vector = buf.CreateVector(bodies);
        const auto bytes =
            finished(buf, wire::CreateFrame(buf, frame_version, 1, 1, 0, types.o, vector));
        CHECK(refusal(bytes) == absl::StatusCode::kInvalidArgument);
    }
}
