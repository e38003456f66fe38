// The fake fleet: instances, network, engines and platform on one simulated clock.
#include "fleet.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "fleet_port.hpp"
#include "mangovane/settings/parse.hpp"

namespace mangovane::test
{

namespace
{

constexpr milliseconds step_time{10};
constexpr milliseconds connect_timeout{1000};
constexpr milliseconds report_lag{200};

std::string engine_name(std::size_t n)
{
    return absl::StrCat("engine-", n);
}
/// Settings that make owners violate a guarantee; the oracle checks with the defaults.
std::string faulty_policy_settings(injected_fault fault)
{
    if (fault == injected_fault::ignore_bound)
    {
        return ",\"load_bound\":8,\"min_slots\":40";
    }
    return fault == injected_fault::ignore_ramp ? ",\"ramp_start\":64" : "";
}

std::string service_name(std::size_t n)
{
    return absl::StrCat("service-", n);
}

} // namespace

/// Forwards the messages of one instance to the fake network.
class fleet_sink final : public message_sink
{
public:
    fleet_sink(fleet& owner, std::size_t node) : fleet_{owner}, node_{node} {}
    void send(const outgoing_message& msg) override { fleet_.send(node_, msg); }

private:
    fleet& fleet_;
    std::size_t node_;
};

fleet::fleet(fleet_options options) : options_{std::move(options)}, random_sequence_{options_.seed}
{
    for (std::size_t n = 0; n != options_.engines; ++n)
    {
        fake_engine it;
        it.info.name = engine_name(n);
        it.info.id = endpoint_id::of(it.info.name);
        it.info.service = service_id::of(service_name(n % options_.services));
        it.info.domain = domain_id::of(options_.domains[n % options_.domains.size()]);
        it.info.address = "127.0.0.1:1";
        it.domain = options_.domains[n % options_.domains.size()];
        it.cold_since = now_;
        engines_.push_back(it);
    }
    publish_settings();
    for (std::size_t n = 0; n != options_.nodes; ++n)
    {
        auto node = std::make_unique<fleet_node>();
        node->name = absl::StrCat("router-", n);
        node->domain = options_.domains[n % options_.domains.size()];
        node->index = n;
        nodes_.push_back(std::move(node));
    }
    for (auto& it : nodes_)
    {
        start_node(*it);
    }
    advance(milliseconds{6000});
}

fleet::~fleet()
{
    // Cancels pending claims while the queues of the instances still exist.
    for (auto& it : nodes_)
    {
        it->claims.reset();
    }
}

std::uint64_t fleet::next_random()
{
    return hash_combine(options_.seed, ++random_sequence_);
}

void fleet::start_node(fleet_node& node)
{
    ++node.epoch;
    node.id = instance_id::of(node.name);
    node.alive = true;
    node.paused = false;
    node.leaving = false;
    node.settings_version = 0;
    node.inbox.clear();
    node.ports.clear();
    node.sink = std::make_unique<fleet_sink>(*this, node.index);
    node.table = std::make_unique<fake_table>(rows_, now_);
    node.table->disconnected = platform_partitions_.contains(node.domain);
    node.claims = std::make_unique<claim_writer>(*node.table);
    node.core = make_core(node);
    refresh_node(node);
    record_disruption();
}

std::unique_ptr<coordinator> fleet::make_core(const fleet_node& node) const
{
    coordinator_options options;
    options.self.id = node.id;
    options.self.epoch = node.epoch;
    options.self.name = node.name;
    options.self.address = "127.0.0.1:1";
    options.self.domain = domain_id::of(node.domain);
    options.seed = hash_combine(node.id.value(), node.epoch);
    options.chat_capacity = 4096;
    return std::make_unique<coordinator>(options, *node.sink, now_);
}

std::string fleet::settings_text() const
{
    std::string services;
    for (std::size_t n = 0; n != options_.services; ++n)
    {
        absl::StrAppend(&services, n == 0 ? "" : ",", "\"", service_name(n),
                        "\":{\"kind\":\"plain\"", faulty_policy_settings(options_.fault), "}");
    }
    std::string out;
    for (const auto& [domain, at] : domains_out_)
    {
        absl::StrAppend(&out, out.empty() ? "" : ",", "\"", domain, "\"");
    }
    return absl::StrCat(
        "{\"services\":{", services,
        "},\"nodes\":[{\"path\":\"/\"},{\"path\":\"/acc\",\"parent\":\"/\",\"account\":{"
        "\"name\":\"acc\",\"key_sha256\":[]}}],\"domains_out\":[",
        out, "]}");
}

void fleet::publish_settings()
{
    const auto version = current_settings_ ? current_settings_->stamp.version.number + 1 : 1;
    auto parsed = parse_settings(settings_text(), version);
    if (!parsed.ok())
    {
        record_violation(
            absl::StrCat("the settings of the test are invalid: ", parsed.status().message()));
        return;
    }
    current_settings_ = *parsed;
}

void fleet::record_violation(std::string text)
{
    violations_.push_back(absl::StrCat(
        "at ", std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count(),
        " ms: ", text));
}

bool fleet::is_connected(const std::string& lhs, const std::string& rhs) const
{
    return lhs == rhs || !partitions_.contains(std::minmax(lhs, rhs));
}

void fleet::send(std::size_t from, const outgoing_message& msg)
{
    auto& node = *nodes_[from];
    // Estimate: about 40 bytes of frame and message headers, and a smaller body.
    node.control_bytes += 64;
    packets_.push_back(
        {now_ + milliseconds{1 + next_random() % 4}, from, node.epoch, msg.to, msg.body});
}

void fleet::deliver()
{
    auto due = std::exchange(packets_, {});
    for (auto& it : due)
    {
        if (it.at > now_)
        {
            packets_.push_back(std::move(it));
            continue;
        }
        const auto to = std::find_if(nodes_.begin(), nodes_.end(),
                                     [&](const auto& node) { return node->id == it.to; });
        if (to == nodes_.end() || !(*to)->alive ||
            !is_connected(nodes_[it.from]->domain, (*to)->domain))
        {
            continue;
        }
        auto* target = to->get();
        target->inbox.emplace_back(
            [this, target, from = nodes_[it.from]->id, body = std::move(it.body)]
            { target->core->on_message(from, body, now_); });
    }
}

void fleet::run_node(fleet_node& node)
{
    if (!node.alive || node.paused)
    {
        return;
    }
    while (!node.inbox.empty())
    {
        auto task = std::move(node.inbox.front());
        node.inbox.pop_front();
        task();
    }
    node.table->run();
    node.claims->tick(now_);
    if (steps_ % 5 == node.index % 5)
    {
        node.core->tick(now_);
    }
    if (steps_ % 50 == node.index % 50)
    {
        refresh_node(node);
        poll_engines(node);
    }
    auto ports = node.ports;
    for (const auto& [number, port] : ports)
    {
        port->run_timer(now_);
    }
    std::erase_if(node.ports, [](const auto& it) { return it.second->closed(); });
    if (node.leaving && node.core->running() == 0)
    {
        node.alive = false;
    }
}

void fleet::refresh_node(fleet_node& node)
{
    if (platform_partitions_.contains(node.domain) || rows_.down)
    {
        return;
    }
    if (options_.fault == injected_fault::stale_settings && next_random() % 50 == 0)
    {
        node.core = make_core(node);
        auto first = parse_settings(settings_text(), 1);
        node.core->adopt_settings(*first, now_);
        return;
    }
    if (options_.fault != injected_fault::ignore_domain_out ||
        current_settings_->stamp.version == 1)
    {
        node.core->adopt_settings(current_settings_, now_);
    }
    node.core->on_platform_read(now_);
    if (!stale_list_ || list_.endpoints.empty())
    {
        list_ = {};
        for (const auto& it : nodes_)
        {
            if (it->alive)
            {
                list_.instances.push_back(
                    {it->name, "127.0.0.1:1", domain_id::of(it->domain), it->leaving});
            }
        }
        for (const auto& it : engines_)
        {
            auto info = it.info;
            info.leaving = it.leaving && options_.fault != injected_fault::ignore_leaving;
            list_.endpoints.push_back(info);
        }
    }
    node.core->on_platform_list(list_.instances,
                                std::make_shared<endpoint_directory>(list_.endpoints), now_);
}

void fleet::poll_engines(fleet_node& node)
{
    for (const auto id : node.core->endpoints_to_poll(now_))
    {
        const auto it = std::find_if(engines_.begin(), engines_.end(),
                                     [&](const auto& engine) { return engine.info.id == id; });
        if (it == engines_.end())
        {
            continue;
        }
        if (!it->up || !is_connected(node.domain, it->domain))
        {
            node.core->on_endpoint_poll(id, false, now_);
            continue;
        }
        endpoint_report report;
        report.endpoint = id;
        report.epoch = it->epoch;
        report.in_flight = it->in_flight();
        const bool warm = now_ > it->cold_since + seconds{10};
        report.warm = warm || options_.fault == injected_fault::ignore_ramp;
        report.leaving = it->leaving && options_.fault != injected_fault::ignore_leaving;
        report.sampled_at = now_ - report_lag;
        node.core->on_endpoint_report(report, now_);
    }
}

void fleet::send_attempt_to(fleet_node& node,
                            std::uint64_t number,
                            std::uint64_t call,
                            const send_attempt& action)
{
    const auto it =
        std::find_if(engines_.begin(), engines_.end(),
                     [&](const auto& engine) { return engine.info.id == action.endpoint; });
    attempt_ended failed{action.attempt, attempt_outcome::failed, false};
    if (it == engines_.end() || !it->up)
    {
        schedule_completion(node, number, now_, failed);
        return;
    }
    if (!is_connected(node.domain, it->domain))
    {
        schedule_completion(node, number, now_ + connect_timeout, failed);
        return;
    }
    check_run_started(*it, node, call);
    engine_run run{action.attempt, call,   node.index,
                   node.epoch,     number, now_ + milliseconds{100 + next_random() % 900}};
    run.response_lost = std::exchange(it->reset_next, false);
    run.mismatched_id = std::exchange(it->mismatch_next, false);
    it->runs.push_back(run);
}

void fleet::schedule_completion(fleet_node& node,
                                std::uint64_t number,
                                time_point at,
                                attempt_ended event)
{
    completions_.push_back({at, node.index, node.epoch, number, std::move(event)});
}

void fleet::complete_run(const fake_engine& engine, const engine_run& run)
{
    auto& node = *nodes_[run.node];
    if (!node.alive || node.epoch != run.epoch)
    {
        return;
    }
    attempt_ended event{run.attempt, attempt_outcome::failed, true};
    if (!run.response_lost && !run.mismatched_id && is_connected(node.domain, engine.domain))
    {
        event.outcome = attempt_outcome::succeeded;
        event.response_started = true;
        event.response_complete = true;
        event.stored = claim_outcome{200, "text/plain", absl::StrCat(run.call), 0, true};
    }
    if (options_.fault == injected_fault::false_not_run && run.response_lost)
    {
        event.may_have_reached_endpoint = false;
    }
    if (run.mismatched_id)
    {
        // The front end drops such a response; the request flow must drop it as well.
        auto other = event;
        other.attempt.sequence ^= 1U;
        other.response_complete = true;
        other.outcome = attempt_outcome::succeeded;
        schedule_completion(node, run.number, now_, other);
    }
    schedule_completion(node, run.number, now_, event);
}

void fleet::run_engines()
{
    for (auto& engine : engines_)
    {
        std::vector<engine_run> ended;
        std::erase_if(engine.runs,
                      [&](const engine_run& it)
                      {
                          if (it.ends_at <= now_)
                          {
                              ended.push_back(it);
                          }
                          return it.ends_at <= now_;
                      });
        for (const auto& it : ended)
        {
            complete_run(engine, it);
        }
    }
    auto completions = std::exchange(completions_, {});
    for (auto& it : completions)
    {
        if (it.at > now_)
        {
            completions_.push_back(std::move(it));
            continue;
        }
        auto& node = *nodes_[it.node];
        if (node.alive && node.epoch == it.epoch)
        {
            node.inbox.emplace_back(
                [this, &node, number = it.number, event = std::move(it.event)]
                {
                    const auto port = node.ports.find(number);
                    if (port != node.ports.end())
                    {
                        port->second->on_attempt_ended(event);
                    }
                    node.core->on_event(number, event, now_);
                });
        }
    }
}

void fleet::step()
{
    now_ += step_time;
    ++steps_;
    deliver();
    run_engines();
    for (auto& it : nodes_)
    {
        run_node(*it);
    }
    check_loads();
    check_calls();
    check_settings();
}

void fleet::advance(milliseconds time)
{
    for (milliseconds n{0}; n < time; n += step_time)
    {
        step();
    }
}

void fleet::call(std::size_t node_index, bool idempotent, const std::string& key)
{
    auto& node = *nodes_[node_index % nodes_.size()];
    if (!node.alive || node.paused || node.leaving)
    {
        return;
    }
    fleet_call entry;
    entry.id = calls_.size();
    entry.idempotent = idempotent;
    entry.key = key;
    entry.node = node.index;
    entry.deadline = now_ + seconds{8};
    calls_.push_back(entry);
    routed_request request;
    request.account = account_id::of("acc");
    // A key belongs to one service, so it selects the service.
    const auto choice = key.empty() ? entry.id : hash_bytes(key);
    request.service = service_id::of(service_name(choice % options_.services));
    request.idempotent = idempotent;
    request.key = key;
    request.fingerprint = 7;
    request.deadline = entry.deadline;
    auto port = std::make_shared<fleet_port>(*this, node, entry.id);
    port->set_number(node.core->start(std::move(request), port, now_));
    node.ports.emplace(port->number(), port);
}

} // namespace mangovane::test
