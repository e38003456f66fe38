// The sub-commands `fleet-store` and `fleet-engine`.
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "standin/arguments.hpp"
#include "standin/commands.hpp"
#include "standin/fleet_engine.hpp"
#include "standin/fleet_store.hpp"

namespace mangovane::standin
{

namespace po = boost::program_options;

int run_fleet_store(const std::vector<std::string>& args)
{
    const auto options = parse_listen_option("fleet-store", args);
    if (options.exit_code)
    {
        return *options.exit_code;
    }
    fleet_store store;
    return serve(options.listen,
                 [&store](const request& req, reply& rep) { return store.handle(req, rep); });
}

int run_fleet_engine(const std::vector<std::string>& args)
{
    fleet_engine_behaviour behaviour;
    std::string listen;
    std::uint32_t interval_ms = 5;
    std::uint32_t work_ms = 5;
    po::options_description known{"mangovane-standin fleet-engine"};
    auto add = known.add_options();
    add("help", "print this text");
    add("listen", po::value(&listen)->default_value("127.0.0.1:0"), "ip:port");
    add("name", po::value(&behaviour.name)->required(),
        "instance name that requests have to expect");
    add("events", po::value(&behaviour.work.events)->default_value(6), "events per stream");
    add("interval-ms", po::value(&interval_ms)->default_value(5), "interval between events in ms");
    add("work-ms", po::value(&work_ms)->default_value(5), "delay before the first byte in ms");
    if (const auto code = read_arguments(known, args))
    {
        return *code;
    }
    behaviour.work.event_interval = std::chrono::milliseconds{interval_ms};
    behaviour.work.delay = std::chrono::milliseconds{work_ms};
    fleet_engine engine{behaviour};
    return serve(listen,
                 [&engine](const request& req, reply& rep) { return engine.handle(req, rep); });
}

} // namespace mangovane::standin
