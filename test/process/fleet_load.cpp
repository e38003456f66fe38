// Implementation of the load generator.
#include "process/fleet_load.hpp"

#include <doctest/doctest.h>

namespace mangovane::test
{

namespace
{

constexpr milliseconds check_period{50};
constexpr milliseconds retry_delay{100};
constexpr std::size_t max_attempts = 100;
constexpr std::size_t chats_per_caller = 6;

/// Whether the outcome of a write is still open, so that the caller must retry.
bool needs_retry(const http_response& response)
{
    const bool not_run = response.has(R"("not_run":true)");
    return response.status == 0 || response.status == 409 || not_run;
}

} // namespace

load_balancer::load_balancer(const fleet& target) : fleet_{target}, ready_(target.routers())
{
    for (auto& it : ready_)
    {
        it = true;
    }
    checker_ = std::thread{[this] { check(); }};
}

load_balancer::~load_balancer()
{
    stop_ = true;
    checker_.join();
}

void load_balancer::check()
{
    while (!stop_)
    {
        for (std::size_t n = 0; n != ready_.size(); ++n)
        {
            ready_[n] = fleet_.is_ready(n);
        }
        std::this_thread::sleep_for(check_period);
    }
}

std::size_t load_balancer::pick()
{
    for (std::size_t n = 0; n != ready_.size(); ++n)
    {
        const auto router = turn_++ % ready_.size();
        if (ready_[router])
        {
            return router;
        }
    }
    return turn_++ % ready_.size();
}

load_record chat_step(const fleet& target, load_balancer& routers, const std::string& id)
{
    load_record result{id, routers.pick(), 1, {}};
    result.response = send(target.router_address(result.router), chat_request(id));
    return result;
}

load_record new_chat_step(const fleet& target, load_balancer& routers, const std::string& id)
{
    return chat_step(target, routers, id);
}

load_record keyed_write_step(const fleet& target, load_balancer& routers, const std::string& id)
{
    load_record result{id, 0, 0, {}};
    auto request = keyed_write(id);
    // A paused router keeps connections open and does not respond.
    request.timeout = milliseconds{2000};
    while (result.attempts++ != max_attempts)
    {
        result.router = routers.pick();
        result.response = send(target.router_address(result.router), request);
        if (!needs_retry(result.response))
        {
            break;
        }
        std::this_thread::sleep_for(retry_delay);
    }
    return result;
}

fleet_load::fleet_load(const fleet& target,
                       load_balancer& routers,
                       caller_step step,
                       const std::string& name,
                       std::size_t callers)
    : fleet_{target}, routers_{routers}, step_{step}, name_{name}
{
    for (std::size_t n = 0; n != callers; ++n)
    {
        threads_.emplace_back([this, n] { run(n); });
    }
}

fleet_load::~fleet_load()
{
    stop();
}

void fleet_load::run(std::size_t caller)
{
    for (std::size_t turn = 0; !stop_; ++turn)
    {
        // Only `chat_step` reuses ids, for returning chats; other steps use a new id each time.
        const auto n = step_ == &chat_step ? turn % chats_per_caller : turn;
        auto record =
            step_(fleet_, routers_, name_ + "-" + std::to_string(caller) + "-" + std::to_string(n));
        ++answered_;
        const std::lock_guard lock{mutex_};
        records_.push_back(std::move(record));
    }
}

std::vector<load_record> fleet_load::stop()
{
    stop_ = true;
    for (auto& it : threads_)
    {
        it.join();
    }
    threads_.clear();
    return records_;
}

void check_all_complete(const std::vector<load_record>& chats)
{
    CHECK(!chats.empty());
    for (const auto& it : chats)
    {
        INFO(it.id << " at router " << it.router << ": " << it.response.status << ' '
                   << it.response.error << ' ' << it.response.body);
        CHECK(is_complete_chat(it.response));
    }
}

void check_ran_once(const fleet& target, const std::vector<load_record>& writes)
{
    CHECK(!writes.empty());
    const auto runs = target.runs();
    for (const auto& [id, n] : runs)
    {
        INFO(id);
        CHECK(n == 1);
    }
    for (const auto& it : writes)
    {
        INFO(it.id << " at router " << it.router << ", attempt " << it.attempts << ": "
                   << it.response.status << ' ' << it.response.error << ' ' << it.response.body);
        const bool is_final = it.response.status == 200 || it.response.has("outcome_unknown");
        CHECK(is_final);
        CHECK((it.response.status != 200 || runs.contains(it.id)));
    }
}

} // namespace mangovane::test
