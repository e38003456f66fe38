// Implementation of the argument parser.
#include "standin/arguments.hpp"

#include <iostream>

#include <boost/program_options.hpp>

namespace mangovane::standin
{

namespace po = boost::program_options;

std::optional<int> read_arguments(const po::options_description& known,
                                  const std::vector<std::string>& args)
{
    po::variables_map values;
    try
    {
        po::store(po::command_line_parser(args).options(known).run(), values);
        if (values.count("help") != 0)
        {
            std::cout << known;
            return 0;
        }
        po::notify(values);
    }
    catch (const po::error& ex)
    {
        std::cerr << ex.what() << '\n';
        return 2;
    }
    return std::nullopt;
}

listen_option parse_listen_option(const std::string& command, const std::vector<std::string>& args)
{
    listen_option result;
    po::options_description known{"mangovane-standin " + command};
    auto add = known.add_options();
    add("help", "print this text");
    add("listen", po::value(&result.listen)->default_value("127.0.0.1:0"), "ip:port");
    result.exit_code = read_arguments(known, args);
    return result;
}

} // namespace mangovane::standin
