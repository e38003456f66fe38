// Implementation of the deployment.
#include "soak/deployment.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>

#include "mangovane/core/hash.hpp"
#include "platform/store_text.hpp"
#include "process/http_client.hpp"
#include "soak/call_text.hpp"

namespace mangovane::soak
{

namespace asio = boost::asio;

namespace
{

constexpr std::array domains{"ikeja-a", "lekki-b", "agege-c"};
constexpr milliseconds probe_timeout{1000};

/// The bounds of rollouts, which the rollout checker applies.
constexpr std::array rollout_words{"--rollout-share=0.1", "--rollout-tolerance=50",
                                   "--rollback-ms=5000"};
constexpr const char* first_version = "v1";
const row_key configuration_row{"op", "config"};

/// Offsets of a router's ports from the first one.
enum port : int
{
    callers,
    readiness,
    metrics,
    peers,
    advertised
};

/// Counts a request as active during its lifetime.
class active_request
{
public:
    explicit active_request(std::atomic<int>& count) : count_{count} { ++count_; }
    ~active_request() { --count_; }
    active_request(const active_request&) = delete;
    active_request& operator=(const active_request&) = delete;

private:
    std::atomic<int>& count_;
};

standin::fleet_engine_behaviour behaviour_of(const std::string& name, bool bad)
{
    standin::fleet_engine_behaviour result{name, {}, work_of, {}};
    if (bad)
    {
        result.fails = fails_at_bad_version;
    }
    // Not by the low bits, which choose the work.
    result.ends_with_connection = [](const std::string& request)
    { return hash_bytes(request) / 4096 % 4 == 0; };
    return result;
}

int free_port()
{
    const auto address = test::free_address();
    return std::stoi(address.substr(address.find(':') + 1));
}

} // namespace

endpoint::endpoint(asio::io_context& io,
                   std::size_t its_number,
                   std::string its_domain,
                   const endpoint_params& params)
    : number{its_number}, service{params.service}, name{service + "-" + std::to_string(number)},
      domain{std::move(its_domain)}, version{params.version}, bad{params.bad}, engine{behaviour_of(
                                                                                   name, bad)},
      cold_until_{clock::now() + params.cold_time}, host_{[this](const standin::request& req,
                                                                 standin::reply& rep)
                                                          { return handle(req, rep); }},
      link_{io, "127.0.0.1:0", host_.address()}
{}

std::string deployment::domain_of(std::size_t number)
{
    return domains[number % domains.size()];
}

deployment::deployment(asio::io_context& io,
                       const deployment_options& options,
                       observation_recorder& recorder)
    : io_{io}, options_{options}, recorder_{recorder},
      store_host_{[this](const standin::request& req, standin::reply& rep)
                  { return store_.handle(req, rep); }},
      first_port_{free_port()}
{
    ::setenv("MANGOVANE_CLUSTER_KEY", "the key of the soak's fleet", 1);
    configure();
    for (std::size_t n = 0; n != options_.model_endpoints; ++n)
    {
        add_endpoint({"dictamen"});
    }
    for (std::size_t n = 0; n != options_.plain_endpoints; ++n)
    {
        add_endpoint({"ventanilla"});
    }
    for (std::size_t n = 0; n != options_.routers; ++n)
    {
        auto it = std::make_unique<router>();
        it->store_link = std::make_unique<link_proxy>(io_, "127.0.0.1:0", store_host_.address());
        it->peer_link = std::make_unique<link_proxy>(io_, address(n, port::advertised),
                                                     address(n, port::peers));
        routers_.push_back(std::move(it));
    }
    for (std::size_t n = 0; n != options_.routers; ++n)
    {
        start(n);
    }
}

deployment::~deployment() = default;

std::string deployment::address(std::size_t router, int port) const
{
    return "127.0.4." + std::to_string(router + 1) + ":" + std::to_string(first_port_ + port);
}

void deployment::start(std::size_t n)
{
    auto& it = *routers_[n];
    ++it.process_number;
    const auto ip = "127.0.4." + std::to_string(n + 1);
    std::vector<std::string> words{
        "mangovane-platform",
        "--name=" + ip,
        "--domain=" + domain_of(n),
        "--listen=" + address(n, port::callers),
        "--ready-listen=" + address(n, port::readiness),
        "--metrics-listen=" + address(n, port::metrics),
        "--peer-listen=" + address(n, port::peers),
        "--peer-advertise=" + address(n, port::advertised),
        "--store=" + it.store_link->address(),
        "--seeds=" + address(0, port::metrics) + "," + address(1, port::metrics),
        "--retry-ratio=0.2",
        "--retry-slack=100",
        "--cold-overshoot=1.5",
        "--cold-tolerance=5",
        "--drain-delay-ms=" + std::to_string(options_.drain_delay.count()),
        "--grace-ms=7800",
    };
    if (options_.rollouts)
    {
        words.insert(words.end(), rollout_words.begin(), rollout_words.end());
    }
    const auto log = options_.log_folder.empty()
                         ? std::string{"/dev/null"}
                         : options_.log_folder + "/router-" + std::to_string(n) + ".log";
    it.process = std::make_unique<test::child_process>(words, log);
}

bool deployment::ready(std::size_t n) const
{
    return test::send(address(n, port::readiness), {"GET", "/readyz", "", {}, probe_timeout})
               .status == 200;
}

void deployment::configure()
{
    const auto next = version_ + 1;
    auto text = test::configuration_text({.version = next,
                                          .first_added = first_added_route,
                                          .cold_time = cold_time,
                                          .cold_rate = cold_rate,
                                          .header_bytes = options_.header_bytes,
                                          .long_timeout = long_route_timeout});
    write(configuration_row, options_.replaces_parts ? with_own_parts(text, next) : text);
    recorder_.add(operator_change{change_kind::configuration, {}, next, clock::now()});
    version_ = next;
}

void deployment::list(endpoint& it, const std::string& state, milliseconds cold_left)
{
    const std::string written_version{"\"v1\""};
    auto text = test::entry_text({it.service, it.link().address(), it.domain, state, cold_left});
    text.replace(text.find(written_version), written_version.size(), "\"" + it.version + "\"");
    write({"servers", it.name}, std::move(text));
}

void deployment::write(const row_key& key, std::optional<std::string> value)
{
    auto& row = written_[key];
    row = {std::move(value), clock::now()};
    put_row(key, row.value);
}

void deployment::put_row(const row_key& key, const std::optional<std::string>& value)
{
    if (value)
    {
        store_.put(key.table, key.key, *value);
    }
    else
    {
        store_.remove(key.table, key.key);
    }
}

std::vector<row_key> deployment::rows_written_since(time_point at) const
{
    std::vector<row_key> result;
    for (const auto& [key, row] : written_)
    {
        if (row.at >= at)
        {
            result.push_back(key);
        }
    }
    return result;
}

void deployment::write_again(const row_key& key, time_point written_by)
{
    const auto& row = written_.at(key);
    if (row.at > written_by)
    {
        return;
    }
    put_row(key, row.value);
    if (key == configuration_row)
    {
        recorder_.add(
            operator_change{change_kind::configuration_again, {}, version_, clock::now()});
    }
}

std::string deployment::version_of(const std::string& service) const
{
    const auto found = versions_.find(service);
    return found == versions_.end() ? first_version : found->second;
}

void deployment::set_version(const std::string& service, const std::string& version)
{
    versions_[service] = version;
}

void deployment::order_rollout(const rollout_order& order)
{
    const auto duration_s = std::chrono::duration_cast<seconds>(order.duration).count();
    write({"op", "rollout/" + order.service}, R"({"service":")" + order.service + R"(","to":")" +
                                                  order.to + R"(","duration_s":)" +
                                                  std::to_string(duration_s) + "}");
}

std::string deployment::rollout_status(const std::string& service) const
{
    return store_.value_of("status", "rollout/" + service);
}

void deployment::stop_at_once(endpoint& it)
{
    it.leaving = true;
    it.link().set({milliseconds{0}, false, false, true});
    it.link().reset_all();
    remove_entry(it);
}

void deployment::add_endpoint(const endpoint_params& params)
{
    std::unique_lock lock{mutex_};
    const auto number = endpoints_.size();
    auto& it = *endpoints_.emplace_back(
        std::make_unique<endpoint>(io_, number, domain_of(number), params));
    lock.unlock();
    it.handle = [this, &it](const standin::request& req, standin::reply& rep)
    { return serve(it, req, rep); };
    it.listed = true;
    list(it, "ready", params.cold_time);
}

void deployment::drain(endpoint& it)
{
    it.leaving = true;
    list(it, "draining", milliseconds{0});
    recorder_.add(operator_change{change_kind::drain, it.name, 0, clock::now()});
}

void deployment::remove_entry(endpoint& it)
{
    it.listed = false;
    write({"servers", it.name}, std::nullopt);
}

void deployment::evacuate_domain(const std::string& domain)
{
    write({"op", "evacuate/" + domain}, "{}");
    {
        const std::lock_guard lock{mutex_};
        domain_out_ = domain;
    }
    recorder_.add(operator_change{change_kind::domain_out, domain, 0, clock::now()});
}

void deployment::restore_domain(const std::string& domain)
{
    {
        const std::lock_guard lock{mutex_};
        domain_out_.clear();
    }
    // Recorded first, since requests may arrive as soon as the store has applied the change.
    recorder_.add(operator_change{change_kind::domain_back, domain, 0, clock::now()});
    write({"op", "evacuate/" + domain}, std::nullopt);
}

std::vector<endpoint*> deployment::endpoints() const
{
    const std::lock_guard lock{mutex_};
    std::vector<endpoint*> result;
    for (const auto& it : endpoints_)
    {
        result.push_back(it.get());
    }
    return result;
}

double deployment::mean_load(const endpoint& own) const
{
    const std::lock_guard lock{mutex_};
    double total = 0;
    double count = 0;
    for (const auto& it : endpoints_)
    {
        // Leaving and evacuated endpoints don't count: while most of a service is in these states,
        // the rest receives all of the load.
        const bool takes_work = it->listed && !it->leaving && it->domain != domain_out_;
        // Each version of a service in a rollout has a share of the load of its own.
        const bool same = it->service == own.service && it->version == own.version;
        const bool counts = same && (takes_work || it.get() == &own);
        total += counts ? it->active.load() : 0;
        count += counts ? 1 : 0;
    }
    return total / count;
}

asio::awaitable<void>
deployment::serve(endpoint& it, const standin::request& req, standin::reply& rep)
{
    const auto now = clock::now();
    recorder_.add(
        arrival{it.name, now, static_cast<double>(it.active.load()), mean_load(it), it.cold(now)});
    const active_request counted{it.active};
    co_await it.engine.handle(req, rep);
}

std::vector<execution_record> deployment::executions() const
{
    std::vector<execution_record> result;
    for (const auto* it : endpoints())
    {
        for (const auto& run : it->engine.runs())
        {
            if (is_uncontrolled(run.request))
            {
                continue;
            }
            const bool as_sent = run.target == target_of(run.request) &&
                                 run.body == body_of(run.request) && run.account == "desk" &&
                                 !run.had_key;
            result.push_back({run.request, it->name, it->domain, run.at, as_sent, it->number,
                              run.ended_at, it->service, it->version,
                              it->bad && fails_at_bad_version(run.request)});
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.at < rhs.at; });
    return result;
}

} // namespace mangovane::soak
