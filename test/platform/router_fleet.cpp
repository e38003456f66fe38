// Implementation of the router processes of the tests.
#include "platform/router_fleet.hpp"

#include <algorithm>
#include <cstdlib>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

namespace
{

constexpr milliseconds ready_timeout{15000};

} // namespace

router_fleet::router_fleet(std::size_t count, fleet_params params)
    : params_{std::move(params)}, store_host_{
                                      [this](const standin::request& req, standin::reply& rep)
                                      { return store.handle(req, rep); }}
{
    ::setenv("MANGOVANE_CLUSTER_KEY", "the key of the tests' fleet", 1);
    const auto free = free_address();
    first_port_ = std::stoi(free.substr(free.find(':') + 1));
    store.put("op", "config", configuration_text(params_.config));
    processes.resize(count);
    for (std::size_t n = 0; n != count; ++n)
    {
        start(n);
    }
}

router_fleet::~router_fleet() = default;

std::string router_fleet::address(std::size_t n, int port) const
{
    return "127.0.1." + std::to_string(n + 1) + ":" + std::to_string(first_port_ + port);
}

std::string router_fleet::log_file(std::size_t n) const
{
    return params_.log_folder.empty()
               ? "/dev/null"
               : params_.log_folder + "/router-" + std::to_string(n) + ".log";
}

void router_fleet::start(std::size_t n)
{
    const auto ip = "127.0.1." + std::to_string(n + 1);
    const router_links direct{store_host_.address(), address(n, 3)};
    const auto links = params_.links ? params_.links(n, direct) : direct;
    processes[n] = std::make_unique<child_process>(
        std::vector<std::string>{"mangovane-platform",
                                 "--name",
                                 ip,
                                 "--domain",
                                 n % 2 == 0 ? "bogota-a" : "bogota-b",
                                 "--listen",
                                 address(n, 0),
                                 "--ready-listen",
                                 address(n, 1),
                                 "--metrics-listen",
                                 address(n, 2),
                                 "--peer-listen",
                                 direct.peer,
                                 "--peer-advertise",
                                 links.peer,
                                 "--store",
                                 links.store,
                                 "--seeds",
                                 address(0, 2),
                                 "--retry-slack",
                                 std::to_string(params_.retry_slack),
                                 "--drain-delay-ms",
                                 std::to_string(params_.drain_delay.count()),
                                 "--grace-ms",
                                 std::to_string(params_.grace_period.count())},
        log_file(n));
}

hosted_engine&
router_fleet::add_engine(const std::string& name, const std::string& service, std::uint32_t events)
{
    engines[name] = std::make_unique<hosted_engine>(name, events);
    write_entry(name, service);
    return *engines[name];
}

void router_fleet::write_entry(const std::string& name,
                               const std::string& service,
                               const std::string& state)
{
    store.put("servers", name,
              entry_text({service, engines[name]->host.address(), "bogota-a", state, {}}));
}

void router_fleet::write_address(const std::string& name,
                                 const std::string& service,
                                 const std::string& address)
{
    store.put("servers", name, entry_text({service, address, "bogota-a", "ready", {}}));
}

unsigned router_fleet::ready_status(std::size_t n) const
{
    return send(address(n, 1), {"GET", "/readyz", "", {}, milliseconds{1000}}).status;
}

bool router_fleet::await_ready(std::size_t n)
{
    return eventually([&] { return ready_status(n) == 200; }, ready_timeout);
}

http_response router_fleet::call(std::size_t router,
                                 const std::string& method,
                                 const std::string& route,
                                 const std::string& id,
                                 const std::string& key) const
{
    http_request it;
    it.method = method;
    it.target = "/" + route + "/7?x=1";
    it.body = method == "POST" ? "the body of " + id : "";
    it.fields = {{"Host", "desk.example"},
                 {"X-Attempt-Id", id},
                 {"X-Deadline-Ms", "2500"},
                 {"Authorization", "Bearer " + key},
                 {"X-Tenant", "forged"}};
    if (route == "review" || route == "rights")
    {
        it.fields.emplace_back("X-Prefix-Hash", "aa:500,bb:4000," + id + ":100");
    }
    it.timeout = milliseconds{8000};
    return send(address(router, 0), it);
}

std::size_t runs_of(const router_fleet& fleet, const std::string& id)
{
    std::size_t result = 0;
    for (const auto& [name, it] : fleet.engines)
    {
        const auto runs = it->engine.runs();
        result += static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [&](const auto& run) { return run.request == id; }));
    }
    return result;
}

} // namespace mangovane::test
