// The sub-command `platform`.
#include "standin/arguments.hpp"
#include "standin/commands.hpp"
#include "standin/platform.hpp"

namespace mangovane::standin
{

int run_platform(const std::vector<std::string>& args)
{
    const auto option = parse_listen_option("platform", args);
    if (option.exit_code)
    {
        return *option.exit_code;
    }
    platform host;
    return serve(option.listen,
                 [&host](const request& req, reply& rep) { return host.handle(req, rep); });
}

} // namespace mangovane::standin
