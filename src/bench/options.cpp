// Parsing of the benchmark options.
#include "bench/options.hpp"

#include <stdexcept>
#include <string_view>

namespace mangovane::bench
{

bench_options parse_options(const std::vector<std::string>& args)
{
    constexpr std::string_view only = "--only=";
    bench_options result;
    for (const auto& it : args)
    {
        if (it == "--json")
        {
            result.json = true;
        }
        else if (it.starts_with(only))
        {
            result.only = it.substr(only.size());
        }
        else
        {
            throw std::invalid_argument{"unknown option " + it +
                                        "; known: --json --only=PART_OF_NAME"};
        }
    }
    return result;
}

} // namespace mangovane::bench
