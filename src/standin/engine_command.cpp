// The sub-command `engine`.

#include <boost/program_options.hpp>

#include "standin/arguments.hpp"
#include "standin/commands.hpp"
#include "standin/engine.hpp"

namespace mangovane::standin
{

namespace po = boost::program_options;

int run_engine(const std::vector<std::string>& args)
{
    engine_behaviour behaviour;
    std::string listen;
    std::uint32_t token_ms = 10;
    std::uint32_t first_ms = 20;
    std::uint32_t uncached_ms = 60;
    po::options_description known{"mangovane-standin engine"};
    auto add = known.add_options();
    add("help", "print this text");
    add("listen", po::value(&listen)->default_value("127.0.0.1:0"), "ip:port");
    add("tokens", po::value(&behaviour.tokens)->default_value(16), "tokens per response");
    add("token-ms", po::value(&token_ms)->default_value(10), "interval between tokens in ms");
    add("first-ms", po::value(&first_ms)->default_value(20),
        "delay of the first token in ms, prefix cached");
    add("uncached-ms", po::value(&uncached_ms)->default_value(60),
        "delay of the first token in ms, prefix not cached");
    add("cached-chats", po::value(&behaviour.cached_chats)->default_value(256),
        "size of the prefix cache");
    add("capacity", po::value(&behaviour.capacity)->default_value(64),
        "maximum of requests in flight");
    add("cold-capacity", po::value(&behaviour.cold_capacity)->default_value(2),
        "capacity during the cold start");
    add("warm-after", po::value(&behaviour.warm_after)->default_value(20), "requests");
    if (const auto code = read_arguments(known, args))
    {
        return *code;
    }
    behaviour.token_interval = milliseconds{token_ms};
    behaviour.first_token = milliseconds{first_ms};
    behaviour.uncached_first_token = milliseconds{uncached_ms};
    engine eng{behaviour};
    return serve(listen, [&eng](const request& req, reply& rep) { return eng.handle(req, rep); });
}

} // namespace mangovane::standin
