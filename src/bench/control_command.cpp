// Sub-command `control`: bytes between instances at the present fleet size and at larger ones.
#include <algorithm>
#include <iostream>

#include <absl/strings/str_cat.h>

#include "bench/commands.hpp"
#include "bench/control_fleet.hpp"
#include "bench/measurement.hpp"
#include "bench/options.hpp"

namespace mangovane::bench
{

namespace
{

/// IPv4 and TCP headers with timestamps: 20 + 20 + 12 bytes.
constexpr double header_bytes = 52;
/// IP and TCP headers per frame: those of its packet, and those of an empty acknowledgement in the
/// other direction.
constexpr double headers_per_frame = 2;
/// At 10 requests/s, about 110 requests are in flight at each instance.
constexpr milliseconds planned_response_time{12000};

struct control_run
{
    std::string_view name;
    fleet_shape shape;
    control_load load;
};

/// Scales the load with the number of instances: 2.6 engines and 10 requests/s for each.
constexpr control_run scaled_run(std::string_view name, std::size_t instances)
{
    const auto accounts = planned_fleet.accounts * instances / planned_fleet.instances;
    const auto domains = instances < 90 ? std::size_t{3} : planned_fleet.domains;
    return {name,
            {instances, instances * 26 / 10, 3, domains, accounts, true},
            {10.0 * static_cast<double>(instances), planned_response_time}};
}

const std::vector<control_run>& all_runs()
{
    static const std::vector<control_run> runs{
        {"today", fleet_shape{}, control_load{}},
        {"today_idle", fleet_shape{}, control_load{0.001}},
        {"today_unlimited", {13, 20, 3, 3, 10, false}, control_load{}},
        {"90_unlimited", {90, 234, 3, 7, 1825, false}, {900, planned_response_time}},
        {"today_all_cold", fleet_shape{},
         control_load{40, planned_response_time, false, seconds{15}}},
        scaled_run("13", 13),
        scaled_run("40", 40),
        scaled_run("90", 90),
        scaled_run("180", 180),
        {"360",
         planned_fleet,
         {10.0 * static_cast<double>(planned_fleet.instances), planned_response_time}},
    };
    return runs;
}

void append_message_types(const std::string& prefix,
                          const control_meter& meter,
                          double per_instance,
                          std::vector<measurement>& measurements)
{
    std::uint64_t messages = 0;
    for (std::size_t n = 0; n != message_type_count; ++n)
    {
        const auto& it = meter.types()[n];
        messages += it.bytes;
        const auto name = absl::StrCat(prefix, "type.", std::string{control_meter::type_name(n)});
        measurements.push_back({name, static_cast<double>(it.bytes) / per_instance, "B/s"});
    }
    const auto rest = static_cast<double>(meter.bytes() - messages);
    measurements.push_back({prefix + "type.frame", rest / per_instance, "B/s"});
}

/// Bytes are counted where they are sent; the mean received by an instance is the same.
std::vector<measurement> measure(const control_run& run)
{
    control_fleet fleet{run.shape, run.load};
    fleet.run();
    const auto& meter = fleet.meter();
    const auto time = std::chrono::duration<double>{run.load.measured}.count();
    const auto per_instance = time * static_cast<double>(run.shape.instances);
    instance_traffic largest;
    for (const auto& it : meter.instances())
    {
        largest.sent = std::max(largest.sent, it.sent);
        largest.received = std::max(largest.received, it.received);
    }
    const auto prefix = absl::StrCat("control.", std::string{run.name}, ".");
    const auto frames = static_cast<double>(meter.frames()) / per_instance;
    const auto mean = static_cast<double>(meter.bytes()) / per_instance;
    const auto& outcome = fleet.outcome();
    std::vector<measurement> measurements{
        {prefix + "sent_mean", mean, "B/s"},
        {prefix + "received_mean", mean, "B/s"},
        {prefix + "sent_largest", static_cast<double>(largest.sent) / time, "B/s"},
        {prefix + "received_largest", static_cast<double>(largest.received) / time, "B/s"},
        {prefix + "frames_sent", frames, "frames/s"},
        {prefix + "headers_estimate", frames * header_bytes * headers_per_frame, "B/s"},
        {prefix + "started", static_cast<double>(outcome.started), "requests"},
        {prefix + "answered", static_cast<double>(outcome.answered), "requests"},
        {prefix + "refused", static_cast<double>(outcome.refused), "requests"},
        {prefix + "attempts", static_cast<double>(outcome.attempts), "attempts"},
        {prefix + "running", static_cast<double>(fleet.running()), "requests"},
    };
    append_message_types(prefix, meter, per_instance, measurements);
    return measurements;
}

} // namespace

int run_control(const std::vector<std::string>& args)
{
    const auto options = parse_options(args);
    std::vector<measurement> measurements;
    for (const auto& run : all_runs())
    {
        if (run.name.find(options.only) != std::string::npos)
        {
            const auto result = measure(run);
            measurements.insert(measurements.end(), result.begin(), result.end());
        }
    }
    print_measurements(std::cout, measurements, options.json);
    return 0;
}

} // namespace mangovane::bench
