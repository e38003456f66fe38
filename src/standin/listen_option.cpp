// Implementation of the option `--listen`.
#include "standin/listen_option.hpp"

#include <iostream>

#include <boost/program_options.hpp>

namespace mangovane::standin
{

namespace po = boost::program_options;

listen_option parse_listen_option(const std::string& command, const std::vector<std::string>& args)
{
    listen_option result;
    po::options_description known{"mangovane-standin " + command};
    auto add = known.add_options();
    add("help", "print this text");
    add("listen", po::value(&result.listen)->default_value("127.0.0.1:0"), "ip:port");
    po::variables_map values;
    try
    {
        po::store(po::command_line_parser(args).options(known).run(), values);
        po::notify(values);
    }
    catch (const po::error& ex)
    {
        std::cerr << ex.what() << '\n';
        result.exit_code = 2;
        return result;
    }
    if (values.count("help") != 0)
    {
        std::cout << known;
        result.exit_code = 0;
    }
    return result;
}

} // namespace mangovane::standin
