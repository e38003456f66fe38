// Entry point of the router daemon.
#include <iostream>

#include <glog/logging.h>

#include "mangovane/daemon/router.hpp"

int main(int argc, char** argv)
{
    // Instances have no disks for log files.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const auto options = mangovane::read_router_options(argc, argv);
    if (!options.ok())
    {
        std::cerr << options.status().message() << '\n';
        return 2;
    }
    const auto finished =
        mangovane::execute_command(options->command, "mangovane-router", mangovane::router_help());
    if (finished)
    {
        return *finished;
    }
    mangovane::router router{*options};
    const auto status = router.run();
    if (!status.ok())
    {
        LOG(ERROR) << "event=start_failed error=\"" << status.message() << '"';
        return 1;
    }
    return 0;
}
