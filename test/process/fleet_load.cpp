// Implementation of the load.
#include "process/fleet_load.hpp"

#include <doctest/doctest.h>

namespace mangovane::test
{

namespace
{

constexpr milliseconds check_period{50};
constexpr milliseconds repeat_pause{100};
constexpr std::size_t max_attempts = 100;
constexpr std::size_t chats_of_a_caller = 6;

/// Whether the caller must ask again to know the fate of its write.
bool is_open(const http_answer& answer)
{
    const bool not_run = answer.has(R"("not_run":true)");
    return answer.status == 0 || answer.status == 409 || not_run;
}

} // namespace

balancer::balancer(const fleet& target) : fleet_{target}, ready_(target.routers())
{
    for (auto& it : ready_)
    {
        it = true;
    }
    checker_ = std::thread{[this] { check(); }};
}

balancer::~balancer()
{
    stop_ = true;
    checker_.join();
}

void balancer::check()
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

std::size_t balancer::pick()
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

load_record chat_step(const fleet& target, balancer& routers, const std::string& id)
{
    load_record result{id, routers.pick(), 1, {}};
    result.answer = send(target.router_address(result.router), chat_call(id));
    return result;
}

load_record new_chat_step(const fleet& target, balancer& routers, const std::string& id)
{
    return chat_step(target, routers, id);
}

load_record keyed_write_step(const fleet& target, balancer& routers, const std::string& id)
{
    load_record result{id, 0, 0, {}};
    auto call = keyed_write(id);
    call.limit = milliseconds{2000}; // A paused router keeps the connection open without an answer.
    while (result.attempts++ != max_attempts)
    {
        result.router = routers.pick();
        result.answer = send(target.router_address(result.router), call);
        if (!is_open(result.answer))
        {
            break;
        }
        std::this_thread::sleep_for(repeat_pause);
    }
    return result;
}

fleet_load::fleet_load(const fleet& target,
                       balancer& routers,
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
        // Only the chats of `chat_step` return; new chats and writes have an id of their own each.
        const auto n = step_ == &chat_step ? turn % chats_of_a_caller : turn;
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

void check_all_whole(const std::vector<load_record>& chats)
{
    CHECK(!chats.empty());
    for (const auto& it : chats)
    {
        INFO(it.id << " at router " << it.router << ": " << it.answer.status << ' '
                   << it.answer.error << ' ' << it.answer.body);
        CHECK(is_whole_chat(it.answer));
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
                   << it.answer.status << ' ' << it.answer.error << ' ' << it.answer.body);
        const bool is_final = it.answer.status == 200 || it.answer.has("outcome_unknown");
        CHECK(is_final);
        CHECK((it.answer.status != 200 || runs.contains(it.id)));
    }
}

} // namespace mangovane::test
