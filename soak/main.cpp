// Fault soak: runs seeded fault plans and prints the violated invariants.
#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

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
    add("count", po::value(&line.count)->default_value(1), "number of seeds to run in sequence");
    add("seeds", po::value(&line.seeds_file),
        "file of runs to use instead: kind (faults, stops or changes), seed, faults, routers, "
        "callers, "
        "comment");
    add("stops", "run series of stops with long work");
    add("changes", "run changes, a rollout and a store that comes back older");
    add("brief", po::bool_switch(&line.options.brief), "skip the undisturbed phase of a run");
    add("plant-doubles", po::bool_switch(&line.options.injected.duplicates_requests),
        "send each request to endpoints twice: the run must fail");
    add("plant-spoils", po::bool_switch(&line.options.injected.corrupts_responses),
        "corrupt responses of endpoints: the run must fail");
    add("plan", "print the plan of the first seed and exit");
    add("logs", po::value(&line.logs), "folder for the router logs, with a subfolder per seed");
    add("routers", po::value(&line.options.deployment.routers)->default_value(6), "routers");
    add("models", po::value(&line.options.deployment.model_endpoints)->default_value(5),
        "model endpoints");
    add("plain", po::value(&line.options.deployment.plain_endpoints)->default_value(3),
        "plain endpoints");
    add("callers", po::value(&line.options.callers)->default_value(24), "callers");
    add("faults", po::value(&line.options.faults)->default_value(10), "faults per run");
    return result;
}

void print_plan(const command_line& line)
{
    for (const auto& it : plan_of(line.seed, line.options).events)
    {
        std::cout << it.from.count() << " ms to " << it.until.count() << " ms " << name_of(it.kind)
                  << " chance " << it.random_value << '\n';
    }
}

/// Names of the kinds of runs in the file of runs. All but the first are options too; `--faults` is
/// the number of faults.
constexpr std::array<std::pair<std::string_view, soak_kind>, 3> kinds{
    {{"faults", soak_kind::faults}, {"stops", soak_kind::stops}, {"changes", soak_kind::changes}}};

soak_kind kind_of(const std::string& name)
{
    const auto* it = std::find_if(kinds.begin(), kinds.end(),
                                  [&](const auto& known) { return known.first == name; });
    if (it == kinds.end())
    {
        throw std::invalid_argument{"no kind of soak run: " + name};
    }
    return it->second;
}

/// Kind of the runs that the options ask for.
soak_kind kind_of(const po::variables_map& values)
{
    const auto* it = std::find_if(std::next(kinds.begin()), kinds.end(),
                                  [&](const auto& known)
                                  { return values.count(std::string{known.first}) != 0; });
    return it == kinds.end() ? kinds.front().second : it->second;
}

/// A seed with the options of its run.
struct seeded_run
{
    std::uint64_t seed{0};
    soak_options options;
};

/// Runs from the file of `--seeds`, or else the consecutive seeds of the command line.
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
        std::string kind;
        if (text.starts_with('#'))
        {
            continue;
        }
        if (words >> kind >> it.seed >> it.options.faults >> it.options.deployment.routers >>
            it.options.callers)
        {
            it.options.kind = kind_of(kind);
            result.push_back(it);
        }
    }
    return result;
}

bool run_and_print(std::uint64_t seed, soak_options options, const command_line& line)
{
    if (!line.logs.empty())
    {
        options.deployment.log_folder = line.logs + "/seed-" + std::to_string(seed);
        std::filesystem::create_directories(options.deployment.log_folder);
    }
    const auto found = run_seed(seed, options);
    const bool passed = found.violations.empty();
    std::cout << "seed " << seed << (passed ? " passed: " : " FAILED: ") << found.calls
              << " calls, " << found.served << " served, " << found.runs << " runs, "
              << found.timed_checks << " checks in time, " << found.closed_unread
              << " closed unread, " << found.at_stops.answered << " answered at stops, "
              << found.at_stops.late << " of them sent late, " << found.at_stops.cut_at_end
              << " cut at the end of a stop\n";
    for (const auto& it : found.violations)
    {
        std::cout << "  " << it.invariant << ": " << it.detail << '\n';
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
        std::cout << "Runs seeded fault plans against router processes.\n\n" << known;
        return 0;
    }
    line.options.kind = kind_of(values);
    if (values.count("plan") != 0)
    {
        print_plan(line);
        return 0;
    }
    const auto runs = runs_of(line);
    const auto passed = static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(),
        [&](const seeded_run& it) { return run_and_print(it.seed, it.options, line); }));
    const auto failed = runs.size() - passed;
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed == 0 && passed != 0 ? 0 : 1;
}
