// The fault soak: plays seeds and prints what did not hold.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

#include "soak/fault_plan.hpp"
#include "soak/run.hpp"

namespace
{

namespace po = boost::program_options;
using namespace mangovane::soak;

struct command_line
{
    std::uint64_t seed{1};
    std::uint64_t count{1};
    std::string logs;
    std::string seeds_file;
    soak_options options;
};

po::options_description describe(command_line& line)
{
    po::options_description result{"Settings"};
    auto add = result.add_options();
    add("help,h", "print this text");
    add("seed", po::value(&line.seed)->default_value(1), "first seed");
    add("count", po::value(&line.count)->default_value(1), "seeds to play, one after the other");
    add("seeds", po::value(&line.seeds_file),
        "file with runs to play instead: seed, faults, routers, callers, comment");
    add("brief", po::bool_switch(&line.options.brief), "without the calm part of a run");
    add("plant-doubles", po::bool_switch(&line.options.planted.doubles),
        "endpoints get each request twice: the run must fail");
    add("plant-spoils", po::bool_switch(&line.options.planted.spoils),
        "answers of endpoints are changed: the run must fail");
    add("plan", "print the plan of the first seed and exit");
    add("logs", po::value(&line.logs), "folder for the routers' logs, one folder a seed");
    add("routers", po::value(&line.options.deployment.routers)->default_value(6), "routers");
    add("models", po::value(&line.options.deployment.model_endpoints)->default_value(5),
        "model endpoints");
    add("plain", po::value(&line.options.deployment.plain_endpoints)->default_value(3),
        "plain endpoints");
    add("callers", po::value(&line.options.callers)->default_value(24), "callers");
    add("faults", po::value(&line.options.faults)->default_value(10), "faults of a run");
    return result;
}

void print_plan(const command_line& line)
{
    for (const auto& it : make_plan(line.seed, line.options.faults, line.options.brief).events)
    {
        std::cout << it.from.count() << " ms to " << it.until.count() << " ms " << name_of(it.kind)
                  << " chance " << it.chance << '\n';
    }
}

/// A seed and what it is played with.
struct seeded_run
{
    std::uint64_t seed{0};
    soak_options options;
};

/// The runs of the file, or the seeds in a row that the command line names.
std::vector<seeded_run> runs_of(const command_line& line)
{
    std::vector<seeded_run> result;
    for (std::uint64_t n = 0; line.seeds_file.empty() && n != line.count; ++n)
    {
        result.push_back({line.seed + n, line.options});
    }
    std::ifstream in{line.seeds_file};
    for (std::string text; !line.seeds_file.empty() && std::getline(in, text);)
    {
        seeded_run it{0, line.options};
        std::istringstream words{text};
        if (words >> it.seed >> it.options.faults >> it.options.deployment.routers >>
            it.options.callers)
        {
            result.push_back(it);
        }
    }
    return result;
}

bool play_seed(std::uint64_t seed, soak_options options, const command_line& line)
{
    if (!line.logs.empty())
    {
        options.deployment.log_folder = line.logs + "/seed-" + std::to_string(seed);
        std::filesystem::create_directories(options.deployment.log_folder);
    }
    const auto found = play(seed, options);
    const bool passed = found.breaches.empty();
    std::cout << "seed " << seed << (passed ? " passed: " : " FAILED: ") << found.calls
              << " calls, " << found.served << " served, " << found.runs << " runs, "
              << found.timed_checks << " checks in time\n";
    for (const auto& it : found.breaches)
    {
        std::cout << "  " << it.promise << ": " << it.detail << '\n';
    }
    std::cout << std::flush;
    return passed;
}

} // namespace

int main(int argc, char** argv)
{
    command_line line;
    const auto known = describe(line);
    po::variables_map values;
    try
    {
        po::store(po::parse_command_line(argc, argv, known), values);
        po::notify(values);
    }
    catch (const po::error& ex)
    {
        std::cerr << ex.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0)
    {
        std::cout << "Plays seeds of faults against real routers.\n\n" << known;
        return 0;
    }
    if (values.count("plan") != 0)
    {
        print_plan(line);
        return 0;
    }
    const auto runs = runs_of(line);
    const auto passed = static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(),
                      [&](const seeded_run& it) { return play_seed(it.seed, it.options, line); }));
    const auto failed = runs.size() - passed;
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed == 0 && passed != 0 ? 0 : 1;
}
