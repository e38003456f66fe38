// The sub-command `service`.
#include "standin/arguments.hpp"
#include "standin/commands.hpp"
#include "standin/service.hpp"

namespace mangovane::standin
{

int run_service(const std::vector<std::string>& args)
{
    const auto option = parse_listen_option("service", args);
    if (option.exit_code)
    {
        return *option.exit_code;
    }
    service host;
    return serve(option.listen,
                 [&host](const request& req, reply& rep) { return host.handle(req, rep); });
}

} // namespace mangovane::standin
