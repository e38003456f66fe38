// Simulation of many member tables with a fake clock and network that counts encoded frame bytes.
#ifndef MANGOVANE_TEST_MEMBERSHIP_SIMULATED_FLEET_HPP
#define MANGOVANE_TEST_MEMBERSHIP_SIMULATED_FLEET_HPP

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/membership/member_table.hpp"
#include "mangovane/wire/codec.hpp"

namespace mangovane
{

/// A network step takes 50 ms; messages are delivered in the next step.
class simulated_fleet
{
public:
    static constexpr milliseconds step{50};
    static constexpr milliseconds tick_period{100};

    struct node
    {
        std::string name;
        std::unique_ptr<member_table> table;
        bool up{true};
        bool paused{false};
        std::uint64_t bytes{0}; ///< Bytes of the frames sent and received.
        std::vector<std::pair<instance_id, message>> inbox;
    };

    simulated_fleet(std::size_t count, std::uint64_t seed) : seed_{seed}
    {
        nodes.resize(count);
        for (std::size_t n = 0; n != count; ++n)
        {
            nodes[n].name = "router-" + std::to_string(n);
            start(n);
        }
    }

    member self_of(std::size_t n) const
    {
        member self{id_of(n), epoch_};
        self.name = nodes[n].name;
        self.address = "127.0.0.1:" + std::to_string(20000 + n);
        self.domain = domain_id{1 + n % 3};
        return self;
    }

    instance_id id_of(std::size_t n) const { return instance_id::of(nodes[n].name); }

    void start(std::size_t n)
    {
        ++epoch_;
        nodes[n].table = std::make_unique<member_table>(self_of(n), detector_timing{},
                                                        hash_combine(seed_, n + epoch_));
        nodes[n].inbox.clear();
        nodes[n].up = true;
    }

    std::vector<listed_instance> list(std::size_t count) const
    {
        std::vector<listed_instance> result;
        for (std::size_t n = 0; n != count; ++n)
        {
            const auto self = self_of(n);
            result.push_back({self.name, self.address, self.domain, false});
        }
        return result;
    }

    /// Gives the platform's list of all members to each of them, and runs until views have
    /// converged.
    void settle(milliseconds time)
    {
        for (auto& it : nodes)
        {
            it.table->on_platform_list(list(nodes.size()), now);
        }
        run(time);
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += step)
        {
            one_step();
        }
    }

    /// Runs until the condition holds; returns the elapsed time, at least `limit` if it never held.
    milliseconds run_until(const std::function<bool()>& done, milliseconds limit)
    {
        const auto start = now;
        while (!done() && now - start < limit)
        {
            run(step);
        }
        return std::chrono::duration_cast<milliseconds>(now - start);
    }

    /// Whether all running members have (or do not have) the subject in their views.
    bool all_see(std::size_t subject, bool present) const
    {
        for (std::size_t n = 0; n != nodes.size(); ++n)
        {
            const bool counts = nodes[n].up && !nodes[n].paused && n != subject;
            if (counts && (find(n, subject) != nullptr) != present)
            {
                return false;
            }
        }
        return true;
    }

    const member* find(std::size_t observer, std::size_t subject) const
    {
        return nodes[observer].table->view()->find(id_of(subject));
    }

    bool full_views() const
    {
        for (const auto& it : nodes)
        {
            if (it.up && it.table->view()->members().size() != nodes.size())
            {
                return false;
            }
        }
        return true;
    }

    void send(std::size_t from, std::vector<outgoing_message> messages)
    {
        for (auto& it : messages)
        {
            const auto n = frame_bytes(from, it.body);
            nodes[from].bytes += n;
            const auto to = index_of(it.to);
            if (it.reconnect)
            {
                broken_connections.erase({from, to});
            }
            const bool lost =
                broken_connections.contains({from, to}) || (is_link_down && is_link_down(from, to));
            if (to < nodes.size() && nodes[to].up && !lost)
            {
                nodes[to].bytes += n;
                nodes[to].inbox.emplace_back(id_of(from), std::move(it.body));
            }
        }
    }

    std::vector<node> nodes;
    std::function<bool(std::size_t, std::size_t)> is_link_down; ///< Links that drop all messages.
    std::set<std::pair<std::size_t, std::size_t>>
        broken_connections; ///< Links that drop all messages until the sender reconnects.
    time_point now{seconds{1000}};

private:
    std::size_t index_of(instance_id id)
    {
        if (index_.empty())
        {
            for (std::size_t n = 0; n != nodes.size(); ++n)
            {
                index_[id_of(n)] = n;
            }
        }
        const auto it = index_.find(id);
        return it == index_.end() ? nodes.size() : it->second;
    }

    std::size_t frame_bytes(std::size_t from, const message& body) const
    {
        return encode_frame(frame{id_of(from), 1, std::nullopt, {body}}, now).value().size();
    }

    std::vector<outgoing_message>
    deliver(member_table& table, instance_id from, const message& body)
    {
        if (const auto* it = std::get_if<probe>(&body))
        {
            return table.on_probe(from, *it, now);
        }
        if (const auto* it = std::get_if<probe_ack>(&body))
        {
            return table.on_probe_ack(from, *it, now);
        }
        return table.on_probe_request(from, std::get<probe_request>(body), now);
    }

    void one_step()
    {
        for (std::size_t n = 0; n != nodes.size(); ++n)
        {
            auto& it = nodes[n];
            if (!it.up || it.paused)
            {
                continue;
            }
            if ((steps_ + n) % (tick_period / step) == 0)
            {
                send(n, it.table->tick(now));
            }
            const auto inbox = std::exchange(it.inbox, {});
            for (const auto& [from, body] : inbox)
            {
                send(n, deliver(*it.table, from, body));
            }
        }
        ++steps_;
    }

    std::uint64_t seed_;
    incarnation epoch_{100};
    std::uint64_t steps_{0};
    absl::flat_hash_map<instance_id, std::size_t> index_;
};

} // namespace mangovane

#endif
