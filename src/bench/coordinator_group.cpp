// Implementation of the coordinators of the path measurement.
#include "bench/coordinator_group.hpp"

#include <utility>

#include <absl/strings/str_cat.h>

#include "mangovane/wire/codec.hpp"

namespace mangovane::bench
{

namespace
{

constexpr milliseconds tick_period{50};
constexpr seconds request_timeout{3600};
constexpr std::size_t chat_capacity = 1U << 16U;

} // namespace

class coordinator_group::sink final : public message_sink
{
public:
    sink(coordinator_group& group, std::size_t from) : group_{group}, from_{from} {}
    void send(const outgoing_message& msg) override
    {
        group_.packets_.push_back({from_, msg.to, msg.body});
    }

private:
    coordinator_group& group_;
    std::size_t from_;
};

/// Records the attempt that was sent, so that the caller can complete it.
class coordinator_group::port final : public request_callbacks
{
public:
    void send(const send_attempt& action) override { sent = action.attempt; }
    void abort(const abort_attempt&) override {}
    void claim(const claim_key&) override {}
    void settle(const settle_claim&) override {}
    void answer(const answer_error&) override {}
    void answer(const answer_stored&) override {}
    void end(const end_request& action) override { answered = action.complete; }
    void wake(const wake_at&) override {}

    std::uint64_t number{0};
    std::optional<attempt_id> sent;
    bool answered{false};
};

coordinator_group::coordinator_group(settings_ptr settings,
                                     endpoints_ptr endpoints,
                                     std::size_t instances)
    : instances_{instances}
{
    for (std::size_t n = 0; n != instances; ++n)
    {
        add_node(n, settings, endpoints);
    }
    advance(seconds{10});
}

coordinator_group::~coordinator_group() = default;

void coordinator_group::add_node(std::size_t n,
                                 const settings_ptr& settings,
                                 const endpoints_ptr& endpoints)
{
    // All endpoints are in domain 0, the domain of the last instance.
    const auto domain_of = [&](std::size_t it)
    { return domain_id::of(domain_name(instances_ - 1 - it)); };
    member self;
    self.name = absl::StrCat("router-", n);
    self.id = instance_id::of(self.name);
    self.epoch = 1;
    self.address = "127.0.0.1:1";
    self.domain = domain_of(n);
    std::vector<listed_instance> list;
    for (std::size_t it = 0; it != instances_; ++it)
    {
        list.push_back({absl::StrCat("router-", it), "127.0.0.1:1", domain_of(it), false});
    }
    auto& added = nodes_.emplace_back();
    added.id = self.id;
    added.out = std::make_unique<sink>(*this, n);
    const coordinator_options options{self, {}, n + 1, chat_capacity};
    added.core = std::make_unique<coordinator>(options, *added.out, now_);
    added.core->adopt_settings(settings, now_);
    added.core->on_platform_list(list, endpoints, now_);
}

void coordinator_group::advance(milliseconds time)
{
    const auto end = now_ + time;
    while (now_ < end)
    {
        now_ += tick_period;
        for (auto& it : nodes_)
        {
            it.core->on_platform_read(now_);
            it.core->tick(now_);
        }
        deliver();
    }
}

void coordinator_group::deliver()
{
    while (!packets_.empty())
    {
        const auto next = std::move(packets_.front());
        packets_.pop_front();
        ++messages_;
        const auto& sender = nodes_[next.from];
        const auto bytes =
            encode_frame(frame{sender.id, 1, std::nullopt, {next.body}}, now_).value();
        const std::string body = bytes.substr(frame_prefix_bytes);
        const auto received = decode_frame(body, now_).value();
        for (auto& it : nodes_)
        {
            if (it.id == next.to)
            {
                it.core->on_message(received.sender, received.messages.front(), now_);
            }
        }
    }
}

std::shared_ptr<coordinator_group::port> coordinator_group::start(std::uint64_t chat)
{
    routed_request request;
    request.account = account_id::of(account_name(chat % planned_fleet.accounts));
    request.service = model_service();
    request.model = served_model();
    request.chat = chat_id{hash_combine(chat, 1)};
    request.idempotent = true;
    request.deadline = now_ + request_timeout;
    auto caller = std::make_shared<port>();
    caller->number = front().start(std::move(request), caller, now_);
    deliver();
    return caller;
}

bool coordinator_group::run_request(std::uint64_t chat)
{
    const auto caller = start(chat);
    if (!caller->sent)
    {
        return false;
    }
    front().on_event(caller->number, attempt_answered{*caller->sent}, now_);
    attempt_ended ended;
    ended.attempt = *caller->sent;
    ended.outcome = attempt_outcome::succeeded;
    ended.response_started = true;
    ended.response_complete = true;
    ended.first_token_ms = 100;
    front().on_event(caller->number, ended, now_);
    deliver();
    return caller->answered;
}

void coordinator_group::hold_request(std::uint64_t chat)
{
    held_.push_back(start(chat));
}

} // namespace mangovane::bench
