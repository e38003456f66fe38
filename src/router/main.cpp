// The daemon of an entry instance.
#include <iostream>

#include <glog/logging.h>

#include "mangovane/core/version.hpp"
#include "mangovane/daemon/router.hpp"

int main(int argc, char** argv)
{
    // Instances have no disks.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const auto options = mangovane::read_router_options(argc, argv);
    if (!options.ok())
    {
        std::cerr << options.status().message() << '\n';
        return 2;
    }
    switch (options->command)
    {
    case mangovane::router_command::help:
        std::cout << mangovane::router_help();
        return 0;
    case mangovane::router_command::version:
        std::cout << "mangovane-router " << mangovane::version_text << '\n';
        return 0;
    case mangovane::router_command::check:
        std::cout << "the settings are valid\n";
        return 0;
    case mangovane::router_command::run:
        break;
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
