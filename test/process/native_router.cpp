// Implementation of the native router of the tests.
#include "process/native_router.hpp"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace mangovane::test
{

namespace
{

std::string write_settings(const std::string& services)
{
    char name[] = "/tmp/mangovane-native-router-XXXXXX";
    ::close(::mkstemp(name));
    std::ofstream{name} << R"({"services": {)" << services << R"(},
      "nodes": [{"path": "/", "settings": {}},
        {"path": "/registry", "parent": "/", "settings": {},
         "account": {"name": "registry", "key_sha256":
          ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}}]})";
    return name;
}

} // namespace

native_router::native_router(const native_router_params& params)
    : settings_file_{write_settings(params.services)}
{
    ::setenv("MANGOVANE_CLUSTER_KEY", "the key of the native router", 1);
    std::vector<std::string> args{"mangovane-router",
                                  "--name",
                                  "entry-0",
                                  "--domain",
                                  "bogota-a",
                                  "--listen",
                                  address,
                                  "--peer-listen",
                                  peer_address,
                                  "--operator-listen",
                                  operator_address,
                                  "--settings-file",
                                  settings_file_,
                                  "--threads",
                                  "1",
                                  "--chat-capacity",
                                  "4096",
                                  "--drain-delay-ms",
                                  std::to_string(params.drain_delay.count())};
    for (const auto& it : params.endpoints)
    {
        args.insert(args.end(), {"--endpoint", it});
    }
    process = std::make_unique<child_process>(args);
}

native_router::~native_router()
{
    std::remove(settings_file_.c_str());
}

} // namespace mangovane::test
