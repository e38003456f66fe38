// Implementation of the coordinator.
#include "mangovane/routing/coordinator.hpp"

#include <optional>
#include <utility>

namespace mangovane
{

namespace
{

/// One retry budget for each service.
class budget_gate final : public retry_gate
{
public:
    [[nodiscard]] bool try_retry(service_id service) override
    {
        return budgets_.with(service, [](retry_budget& it) { return it.try_retry(); });
    }

private:
    sharded_map<service_id, retry_budget> budgets_;
};

} // namespace

coordinator::coordinator(coordinator_options options, message_sink& sink, time_point now)
    : options_{std::move(options)}, sink_{sink}, strategy_{make_last_two_strategy()},
      retries_{std::make_unique<budget_gate>()}, endpoints_{std::make_shared<endpoint_directory>()}
{
    view_ = std::make_shared<membership_view>(1, now + std::chrono::hours{24 * 365},
                                              std::vector{options_.self});
    rebuild_routes();
}

coordinator::~coordinator() = default;

adopt_result coordinator::adopt_settings(settings_ptr settings, time_point)
{
    const auto result = settings_.adopt(std::move(settings));
    if (result == adopt_result::adopted)
    {
        rebuild_routes();
    }
    return result;
}

void coordinator::on_platform_list(const std::vector<listed_instance>&,
                                   endpoints_ptr endpoints,
                                   time_point)
{
    {
        const std::lock_guard lock{mutex_};
        endpoints_ = std::move(endpoints);
    }
    rebuild_routes();
}

void coordinator::rebuild_routes()
{
    static const auto no_settings = std::make_shared<const settings_snapshot>();
    auto settings = settings_.current();
    const std::lock_guard lock{mutex_};
    routes_ = std::make_shared<routing_table>(endpoints_, settings ? settings : no_settings);
}

routing_table_ptr coordinator::routes() const
{
    const std::lock_guard lock{mutex_};
    return routes_;
}

view_ptr coordinator::view() const
{
    const std::lock_guard lock{mutex_};
    return view_;
}

std::uint64_t
coordinator::start(routed_request request, std::shared_ptr<request_port> port, time_point now)
{
    const auto number = next_number_.fetch_add(1);
    const attempt_id first{options_.self.id, options_.self.epoch, 0};
    const auto routes = this->routes();
    const auto view = this->view();
    const flow_context ctx{
        *routes, *view, *strategy_, *retries_, hash_combine(options_.seed, number), now};
    request_flow flow{std::move(request), first, number};
    const auto actions = flow.start(ctx);
    if (!flow.finished())
    {
        flows_.with_shard(number,
                          [&](auto& map) {
                              map.emplace(number, running_flow{std::move(flow), port});
                          });
    }
    perform(number, port, actions, now);
    return number;
}

void coordinator::on_event(std::uint64_t number, const flow_event& event, time_point now)
{
    const auto routes = this->routes();
    const auto view = this->view();
    const auto seed = hash_combine(hash_combine(options_.seed, number), event.index());
    const flow_context ctx{*routes, *view, *strategy_, *retries_, seed, now};
    flow_actions actions;
    std::shared_ptr<request_port> port;
    flows_.with_shard(number,
                      [&](auto& map)
                      {
                          const auto it = map.find(number);
                          if (it == map.end())
                          {
                              return;
                          }
                          actions = it->second.flow.on_event(event, ctx);
                          port = it->second.port;
                          if (it->second.flow.finished())
                          {
                              map.erase(it);
                          }
                      });
    perform(number, port, actions, now);
}

void coordinator::perform(std::uint64_t number,
                          const std::shared_ptr<request_port>& port,
                          const flow_actions& actions,
                          time_point now)
{
    struct performer
    {
        coordinator& self;
        std::uint64_t number;
        request_port& port;
        time_point now;

        void operator()(const check_limits&) const
        {
            self.on_event(number, limits_decided{true}, now);
        }
        void operator()(const query_chat& it) const
        {
            self.on_event(number, chat_answer{it.ticket, it.chat, {}}, now);
        }
        void operator()(const query_load& it) const
        {
            self.on_event(number, load_answer{it.ticket, it.endpoint, 0, 0, 1}, now);
        }
        void operator()(const ask_slot& it) const
        {
            self.on_event(number, slot_grant{it.request.attempt, it.request.endpoint, 1, 1}, now);
        }
        void operator()(const claim_key& it) const { port.claim(it); }
        void operator()(const send_attempt& it) const { port.send(it); }
        void operator()(const abort_attempt& it) const { port.abort(it); }
        void operator()(const give_back&) const {}
        void operator()(const settle_claim& it) const { port.settle(it); }
        void operator()(const record_chat&) const {}
        void operator()(const answer_error& it) const { port.answer(it); }
        void operator()(const answer_stored& it) const { port.answer(it); }
        void operator()(const end_request& it) const { port.end(it); }
        void operator()(const wake_at& it) const { port.wake(it); }
    };
    for (const auto& action : actions)
    {
        std::visit(performer{*this, number, *port, now}, action);
    }
}

} // namespace mangovane
