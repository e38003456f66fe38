// Forward declarations of the message module.
#ifndef MANGOVANE_MESSAGE_FWD_HPP
#define MANGOVANE_MESSAGE_FWD_HPP

namespace mangovane
{

struct slot_request;
struct slot_grant;
struct slot_refusal;
struct slot_release;
struct slot_renewal;
struct load_query;
struct load_answer;
struct service_load_report;
struct load_total;
struct chat_query;
struct chat_answer;
struct chat_update;
struct limit_request;
struct limit_grant;
struct member_update;
struct probe;
struct probe_ack;
struct probe_request;
struct settings_query;
struct settings_content;
struct endpoint_digest;
struct load_digest;
struct feed_state;
struct endpoint_query;
struct endpoint_row;
struct endpoint_update;
struct crash_evidence;
struct part_answer;
struct quarantine_update;
struct rollout_report;
struct usage_report;

} // namespace mangovane

#endif
