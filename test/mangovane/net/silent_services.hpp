// Services of a native front end that do nothing.
#ifndef MANGOVANE_TEST_NET_SILENT_SERVICES_HPP
#define MANGOVANE_TEST_NET_SILENT_SERVICES_HPP

#include "mangovane/net/frontend_services.hpp"
#include "mangovane/routing/message_sink.hpp"

namespace mangovane::test
{

class discarding_sink final : public message_sink
{
public:
    void send(const outgoing_message&) override {}
};

class no_claims final : public claim_store
{
public:
    void claim_key(claim, time_point, claim_writer::claim_handler) override {}
    void settle(claim, time_point, claim_writer::settle_handler) override {}
};

class silent_observer final : public request_observer
{
public:
    void on_request_end(const request_record&) override {}
    void on_early_refusal(error_kind) override {}
    void on_dropped_answer() override {}
    void on_failed_attempt(std::string_view) override {}
    void on_caller_stall() override {}
    void on_session_end(std::string_view) override {}
};

} // namespace mangovane::test

#endif
