// Implementation of the control traffic meter.
#include "bench/control_meter.hpp"

namespace mangovane::bench
{

namespace
{

constexpr std::array<std::string_view, message_type_count> type_names{
    "slot_request", "slot_grant",    "slot_refusal",   "slot_release",    "slot_renewal",
    "load_query",   "load_answer",   "load_report",    "load_mean",       "chat_query",
    "chat_answer",  "chat_update",   "limit_request",  "limit_grant",     "probe",
    "probe_ack",    "probe_request", "settings_query", "settings_content"};

std::size_t encoded_size(const frame& value, time_point now)
{
    return encode_frame(value, now).value().size();
}

} // namespace

void control_meter::on_frame(
    std::size_t from, std::size_t to, const frame& value, std::size_t bytes, time_point now)
{
    ++frames_;
    bytes_ += bytes;
    instances_[from].sent += bytes;
    instances_[to].received += bytes;
    frame part{value.sender, value.epoch, std::nullopt, {}};
    const auto empty = encoded_size(part, now);
    for (const auto& it : value.messages)
    {
        part.messages.assign(1, it);
        auto& count = types_[it.index()];
        ++count.messages;
        count.bytes += encoded_size(part, now) - empty;
    }
}

std::string_view control_meter::type_name(std::size_t type) noexcept
{
    return type_names[type];
}

} // namespace mangovane::bench
