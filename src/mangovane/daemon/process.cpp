// Implementation of what the daemons share.
#include "mangovane/daemon/process.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <thread>
#include <vector>

namespace mangovane
{

std::string option_of_variable(const std::string& variable,
                               const boost::program_options::options_description& known)
{
    constexpr std::string_view prefix = "MANGOVANE_";
    if (!variable.starts_with(prefix))
    {
        return {};
    }
    std::string name = variable.substr(prefix.size());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   { return c == '_' ? '-' : static_cast<char>(std::tolower(c)); });
    return known.find_nothrow(name, false) != nullptr ? name : std::string{};
}

void run_threads(boost::asio::io_context& io, std::uint32_t count)
{
    std::vector<std::thread> threads;
    for (std::uint32_t n = 1; n < count; ++n)
    {
        threads.emplace_back([&io] { io.run(); });
    }
    io.run();
    for (auto& it : threads)
    {
        it.join();
    }
}

} // namespace mangovane
