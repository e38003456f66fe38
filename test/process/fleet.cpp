// Implementation of the fleet of processes.
#include "process/fleet.hpp"

#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <boost/json.hpp>
#include <doctest/doctest.h>

namespace mangovane::test
{

namespace
{

namespace json = boost::json;

constexpr std::array domains{"bogota-a", "bogota-b", "medellin-c"};
constexpr milliseconds start_timeout{15000};

std::string domain_of(std::size_t n)
{
    return domains.at(n % domains.size());
}

http_request authorized_request(std::string method, std::string target, std::string body)
{
    return {std::move(method),
            std::move(target),
            std::move(body),
            {{"Authorization", "Bearer secret"}, {"Mangovane-Deadline-Ms", "10000"}}};
}

std::vector<std::string> engine_arguments(milliseconds token_interval)
{
    return {"mangovane-standin", "engine", "--warm-after",  "0",
            "--tokens",          "8",      "--token-ms",    std::to_string(token_interval.count()),
            "--first-ms",        "10",     "--uncached-ms", "30"};
}

} // namespace

fleet::fleet(const fleet_size& size)
    : platform_{{"mangovane-standin", "platform", "--listen", "127.0.0.1:0"}, true}
{
    setenv("MANGOVANE_CLUSTER_KEY", "a key of the process tests", 1);
    start_endpoints(size);
    for (std::size_t n = 0; n != size.routers; ++n)
    {
        routers_.push_back({"entry-" + std::to_string(n), domain_of(n), free_address(),
                            free_address(), free_address(), nullptr});
    }
    publish_list();
    write_settings();
    REQUIRE(ctl("settings apply " + file_).code == 0);
    for (std::size_t n = 0; n != size.routers; ++n)
    {
        start_router(n);
    }
    await_ready();
}

fleet::~fleet()
{
    // Signals all routers first, so that they drain in parallel.
    for (const auto& it : routers_)
    {
        if (it.process)
        {
            it.process->signal(SIGCONT);
            it.process->signal(SIGTERM);
        }
    }
    std::remove(file_.c_str());
}

void fleet::start_endpoints(const fleet_size& size)
{
    for (std::size_t n = 0; n != size.engines; ++n)
    {
        endpoints_.push_back(
            {"dictamen-" + std::to_string(n), "dictamen", domain_of(n),
             std::make_unique<child_process>(engine_arguments(size.token_interval), true)});
    }
    const std::vector<std::string> plain{"mangovane-standin", "service"};
    for (std::size_t n = 0; n != size.services; ++n)
    {
        endpoints_.push_back({"ventanilla-" + std::to_string(n), "ventanilla", domain_of(n),
                              std::make_unique<child_process>(plain, true)});
    }
}

void fleet::start_router(std::size_t n)
{
    auto& it = routers_.at(n);
    const std::vector<std::string> args{"mangovane-router",
                                        "--name",
                                        it.name,
                                        "--domain",
                                        it.domain,
                                        "--listen",
                                        it.callers,
                                        "--peer-listen",
                                        it.peers,
                                        "--operator-listen",
                                        it.operators,
                                        "--platform",
                                        platform_.address(),
                                        "--threads",
                                        "1",
                                        "--chat-capacity",
                                        "4096",
                                        "--drain-delay-ms",
                                        "500"};
    it.process = std::make_unique<child_process>(args);
}

bool fleet::is_ready(std::size_t n) const
{
    return send(router_address(n), {"GET", "/readyz", {}, {}, milliseconds{300}}).status == 200;
}

program_result fleet::ctl(const std::string& arguments) const
{
    return run_program("mangovanectl " + arguments + " --author ada --platform " +
                       platform_.address() + " --operator " + routers_.front().operators);
}

http_response fleet::send_to_platform(const http_request& request) const
{
    return send(platform_.address(), request);
}

void fleet::set_store_down(bool down) const
{
    REQUIRE(
        send_to_platform({"POST", "/fault", down ? R"({"down":true})" : R"({"down":false})", {}})
            .status == 200);
}

void fleet::publish_list() const
{
    json::array instances;
    for (const auto& it : routers_)
    {
        instances.push_back(json::object{
            {"name", it.name}, {"address", it.peers}, {"domain", it.domain}, {"leaving", false}});
    }
    json::array endpoints;
    for (const auto& it : endpoints_)
    {
        endpoints.push_back(json::object{{"name", it.name},
                                         {"service", it.service},
                                         {"domain", it.domain},
                                         {"address", it.process->address()},
                                         {"leaving", false}});
    }
    const auto text = json::serialize(
        json::object{{"instances", std::move(instances)}, {"endpoints", std::move(endpoints)}});
    REQUIRE(send_to_platform({"PUT", "/v1/instances", text, {}}).status == 200);
}

void fleet::write_settings()
{
    char name[] = "/tmp/mangovane-fleet-XXXXXX";
    close(mkstemp(name));
    file_ = name;
    std::ofstream{file_} << R"({"services": {
        "dictamen": {"kind": "model", "models": ["dictamen-large"]},
        "ventanilla": {"kind": "plain", "key_retention_s": )"
                         << key_retention.count() << R"(}},
      "nodes": [{"path": "/", "settings": {}},
        {"path": "/registry", "parent": "/", "settings": {},
         "account": {"name": "registry", "key_sha256":
          ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}}]})";
}

void fleet::await_ready() const
{
    for (std::size_t n = 0; n != routers(); ++n)
    {
        INFO("router " << n);
        REQUIRE(eventually([&] { return is_ready(n); }, start_timeout));
        REQUIRE(eventually([&] { return send(router_address(n), read_request()).status == 200; },
                           start_timeout));
        REQUIRE(eventually([&]
                           { return is_complete_chat(send(router_address(n), chat_request("c"))); },
                           start_timeout));
    }
}

std::uint64_t fleet::chats_started(const std::string& domain) const
{
    std::uint64_t result = 0;
    for (const auto& it : endpoints_)
    {
        if (it.service == "dictamen" && it.domain == domain)
        {
            const auto response = send(it.process->address(), {"GET", "/mangovane/load", {}, {}});
            result += json::parse(response.body).at("total").to_number<std::uint64_t>();
        }
    }
    return result;
}

std::uint64_t fleet::chats_started() const
{
    std::uint64_t result = 0;
    for (const auto* it : domains)
    {
        result += chats_started(it);
    }
    return result;
}

void fleet::slow_engines_down() const
{
    for (const auto& it : endpoints_)
    {
        if (it.service == "dictamen")
        {
            REQUIRE(
                send(it.process->address(), {"POST", "/fault", R"({"slow":true})", {}}).status ==
                200);
        }
    }
}

std::map<std::string, std::uint64_t> fleet::runs() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto& it : endpoints_)
    {
        if (it.service == "ventanilla")
        {
            const auto response = send(it.process->address(), {"GET", "/runs", {}, {}});
            const auto root = json::parse(response.body);
            for (const auto& [id, n] : root.at("runs").as_object())
            {
                result[std::string{std::string_view{id}}] += n.to_number<std::uint64_t>();
            }
        }
    }
    return result;
}

http_request chat_request(const std::string& chat)
{
    auto result = authorized_request("POST", "/v1/chat/completions",
                                     R"({"model":"dictamen-large","stream":true,"messages":[]})");
    result.fields.emplace_back("Mangovane-Chat", chat);
    return result;
}

http_request keyed_write(const std::string& key)
{
    auto result = unkeyed_write(key);
    result.fields.emplace_back("Idempotency-Key", key);
    return result;
}

http_request unkeyed_write(const std::string& id)
{
    return authorized_request("POST", "/services/ventanilla/grants",
                              json::serialize(json::object{{"id", id}}));
}

http_request read_request()
{
    return authorized_request("GET", "/services/ventanilla/status", {});
}

bool is_complete_chat(const http_response& response)
{
    return response.status == 200 && response.has("data: [DONE]");
}

} // namespace mangovane::test
