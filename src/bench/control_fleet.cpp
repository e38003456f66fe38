// Simulated clock, network and load of the control traffic measurement.
#include "bench/control_fleet.hpp"

#include <cmath>
#include <utility>

#include <absl/strings/str_cat.h>

#include "bench/chat_load.hpp"
#include "bench/control_port.hpp"

namespace mangovane::bench
{

namespace
{

/// The periods of daemon/router and net/peer_link.
constexpr milliseconds tick_period{50};
constexpr milliseconds poll_period{500};
constexpr milliseconds batch_delay{2};

/// One-way latency between failure domains of the first deployment.
constexpr std::chrono::microseconds one_way_latency{1500};

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t chat_capacity = 1U << 16U;
constexpr double plain_service_ratio = 0.1;
constexpr seconds request_timeout{60};
/// By then the instances have discovered each other and the first owners have rebuilt their state.
constexpr seconds first_arrival{8};
constexpr milliseconds short_response_time{200};

/// The ramp of an endpoint rises only with responses; long ones would prolong the cold start.
constexpr seconds cold_start_duration{15};

/// Only the most recent chats return: as many as this many seconds of requests belong to.
constexpr std::uint64_t returning_chat_window_s = 250;

} // namespace

class control_fleet::sink final : public message_sink
{
public:
    sink(control_fleet& fleet, std::size_t from) : fleet_{fleet}, from_{from} {}
    void send(const outgoing_message& msg) override { fleet_.enqueue(from_, msg); }

private:
    control_fleet& fleet_;
    std::size_t from_;
};

control_fleet::control_fleet(const fleet_shape& shape, const control_load& load)
    : shape_{shape}, load_{load}, endpoints_{make_endpoints(shape)}, meter_{shape.instances}
{
    start_nodes();
}

control_fleet::~control_fleet() = default;

void control_fleet::start_nodes()
{
    const auto settings = make_settings(shape_);
    std::vector<listed_instance> list;
    for (std::size_t n = 0; n != shape_.instances; ++n)
    {
        list.push_back({absl::StrCat("router-", n), absl::StrCat("127.0.0.1:", 10000 + n),
                        domain_id::of(domain_name(n % shape_.domains)), false});
    }
    nodes_.resize(shape_.instances);
    for (std::size_t n = 0; n != shape_.instances; ++n)
    {
        auto& it = nodes_[n];
        it.self.id = instance_id::of(list[n].name);
        it.self.epoch = 1;
        it.self.name = list[n].name;
        it.self.address = list[n].address;
        it.self.domain = list[n].domain;
        indexes_[it.self.id] = n;
        it.out = std::make_unique<sink>(*this, n);
        const coordinator_options options{it.self, {}, hash_combine(seed, n), chat_capacity};
        it.core = std::make_unique<coordinator>(options, *it.out, now_);
        it.core->adopt_settings(settings, now_);
        it.core->on_platform_list(list, endpoints_, now_);
        schedule(tick_period * n / shape_.instances, [this, n] { tick(n); });
        schedule(poll_period * n / shape_.instances, [this, n] { poll(n); });
    }
    schedule(first_arrival, [this] { on_arrival(); });
}

void control_fleet::run()
{
    const auto start = now_ + load_.warm_up;
    const auto end = start + load_.measured;
    while (events_.top().at < end)
    {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        measuring_ = now_ >= start;
        next.run();
    }
}

void control_fleet::schedule(duration in, std::function<void()> task)
{
    events_.push(event{now_ + in, ++sequence_, std::move(task)});
}

std::uint64_t control_fleet::next_random()
{
    return hash_combine(seed, ++random_sequence_);
}

double control_fleet::next_uniform()
{
    // 53 random bits plus half a step: never 0, so that the logarithm is finite.
    return (static_cast<double>(next_random() >> 11U) + 0.5) * 0x1p-53;
}

void control_fleet::enqueue(std::size_t from, const outgoing_message& msg)
{
    auto& waiting = nodes_[from].batches[msg.to].messages;
    waiting.push_back(msg.body);
    if (waiting.size() == 1)
    {
        schedule(batch_delay, [this, from, to = msg.to] { flush(from, to); });
    }
}

void control_fleet::flush(std::size_t from, instance_id to)
{
    auto& sender = nodes_[from];
    const frame value{sender.self.id, sender.self.epoch, std::nullopt,
                      std::exchange(sender.batches[to].messages, {})};
    const auto target = indexes_.at(to);
    const auto bytes = encode_frame(value, now_).value();
    if (measuring_)
    {
        meter_.on_frame(from, target, value, bytes.size(), now_);
    }
    schedule(one_way_latency,
             [this, target, bytes]
             {
                 const auto received =
                     decode_frame(std::string{bytes.substr(frame_prefix_bytes)}, now_).value();
                 for (const auto& it : received.messages)
                 {
                     nodes_[target].core->on_message(received.sender, it, now_);
                 }
             });
}

void control_fleet::tick(std::size_t n)
{
    nodes_[n].core->tick(now_);
    schedule(tick_period, [this, n] { tick(n); });
}

void control_fleet::poll(std::size_t n)
{
    for (const auto endpoint : nodes_[n].core->slots().owned())
    {
        const endpoint_report report{endpoint, 1, in_flight_[endpoint], true, false, now_};
        nodes_[n].core->on_endpoint_report(report, now_);
    }
    nodes_[n].core->on_platform_read(now_);
    schedule(poll_period, [this, n] { poll(n); });
}

routed_request control_fleet::make_request()
{
    routed_request result;
    result.deadline = now_ + request_timeout;
    result.account = account_id::of(account_name(next_random() % shape_.accounts));
    result.idempotent = true;
    if (next_uniform() < plain_service_ratio)
    {
        result.service = plain_service();
        return result;
    }
    const auto requests_per_s = static_cast<std::uint64_t>(std::ceil(load_.requests_per_s));
    const auto window = requests_per_s * returning_chat_window_s / turns_per_chat;
    const bool is_new = chats_ == 0 || next_random() % turns_per_chat == 0;
    const auto number = is_new ? ++chats_ : chats_ - next_random() % std::min(chats_, window);
    result.service = model_service();
    result.model = served_model();
    result.chat = chat_id{hash_combine(seed, number)};
    return result;
}

void control_fleet::on_arrival()
{
    auto& it = nodes_[next_random() % nodes_.size()];
    const auto request = make_request();
    const bool is_short =
        request.model.empty() || (load_.warm && now_ < started_at_ + cold_start_duration);
    const auto time = is_short ? short_response_time : load_.response_time;
    port_context context{*it.core,
                         now_,
                         in_flight_,
                         outcome_,
                         time,
                         [this](duration in, std::function<void()> task) { schedule(in, std::move(task)); }};
    auto caller = std::make_shared<control_port>(std::move(context));
    ++outcome_.started;
    caller->set_number(it.core->start(request, caller, now_));
    const std::chrono::duration<double> gap{-std::log(next_uniform()) / load_.requests_per_s};
    schedule(std::chrono::duration_cast<duration>(gap), [this] { on_arrival(); });
}

std::size_t control_fleet::running() const
{
    std::size_t result = 0;
    for (const auto& it : nodes_)
    {
        result += it.core->running();
    }
    return result;
}

} // namespace mangovane::bench
