// Shared by the forwarding tests: builders of settings, endpoints and requests.
#ifndef MANGOVANE_TEST_FORWARD_FORWARD_FIXTURE_HPP
#define MANGOVANE_TEST_FORWARD_FORWARD_FIXTURE_HPP

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mangovane/forward/forward_core.hpp"

namespace mangovane::test
{

inline const time_point start{seconds{1000}};
inline const service_id model_service = service_id::of("dictamen");
inline const service_id plain_service = service_id::of("ventanilla");

inline route_policy make_route(const std::string& name, route_kind kind, service_id service)
{
    route_policy result;
    result.name = name;
    result.host = "desk.example";
    result.prefix = "/" + name + "/";
    result.kind = kind;
    result.sticky = kind == route_kind::stream;
    result.max_attempts = kind == route_kind::single_run ? 1 : 2;
    result.timeout = milliseconds{1000};
    result.first_byte_goal = milliseconds{300};
    result.targets = {{service, 1}};
    return result;
}

inline std::shared_ptr<settings_snapshot> make_settings(std::uint64_t version)
{
    auto result = std::make_shared<settings_snapshot>();
    result->stamp = {version, version};
    result->text = "version " + std::to_string(version);
    service_policy model;
    model.id = model_service;
    model.name = "dictamen";
    model.cold_requests_per_s = 10;
    model.cold_time = milliseconds{3000};
    service_policy plain;
    plain.id = plain_service;
    plain.name = "ventanilla";
    plain.kind = service_kind::plain;
    result->services.emplace(model.id, model);
    result->services.emplace(plain.id, plain);
    auto resumable = make_route("rights", route_kind::stream, model_service);
    resumable.resumable = true;
    resumable.event_gap_goal = milliseconds{600};
    result->routes =
        route_list{{make_route("review", route_kind::stream, model_service), std::move(resumable),
                    make_route("grant", route_kind::single_run, plain_service),
                    make_route("status", route_kind::idempotent, plain_service)}};
    return result;
}

inline endpoint_change make_entry(const std::string& name,
                                  service_id service,
                                  const std::string& domain,
                                  std::uint64_t revision)
{
    endpoint_change result;
    result.name = name;
    result.revision = revision;
    endpoint_info info;
    info.id = endpoint_id::of(name);
    info.service = service;
    info.domain = domain_id::of(domain);
    info.domain_name = domain;
    info.name = name;
    info.address = "10.0.0.1:" + std::to_string(1000 + revision);
    result.info = std::move(info);
    return result;
}

inline forward_request make_request(const settings_ptr& settings,
                                    const std::string& route,
                                    std::uint64_t chat = 0,
                                    time_point now = start)
{
    forward_request result;
    result.request = "request-" + std::to_string(chat);
    result.settings = settings;
    result.route = settings->routes.match("desk.example", "/" + route + "/x");
    result.service = result.route->targets.front().service;
    if (chat != 0)
    {
        result.prompt = {{1, 512}, {chat, 4000}, {chat * 1000 + 7, 130}};
    }
    result.accepted_at = now;
    result.deadline = now + result.route->timeout;
    return result;
}

/// Records the messages that an instance sends.
class recording_sink final : public message_sink
{
public:
    void send(const outgoing_message& msg) override { sent.push_back(msg); }

    template <class Message>
    [[nodiscard]] std::vector<Message> of() const
    {
        std::vector<Message> result;
        for (const auto& it : sent)
        {
            if (const auto* found = std::get_if<Message>(&it.body))
            {
                result.push_back(*found);
            }
        }
        return result;
    }

    std::vector<outgoing_message> sent;
};

inline forward_options make_options(const std::string& name, const std::string& domain)
{
    forward_options result;
    result.self.id = instance_id::of(name);
    result.self.epoch = 1;
    result.self.name = name;
    result.self.address = "10.0.0.9:7000";
    result.self.domain = domain_id::of(domain);
    return result;
}

} // namespace mangovane::test

#endif
