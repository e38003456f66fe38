// Output of measurements as text or JSON.
#include "bench/measurement.hpp"

#include <ostream>

#include <boost/json.hpp>

namespace mangovane::bench
{

namespace
{

void print_json(std::ostream& out, const std::vector<measurement>& measurements)
{
    boost::json::array list;
    for (const auto& it : measurements)
    {
        list.push_back(
            boost::json::object{{"name", it.name}, {"value", it.value}, {"unit", it.unit}});
    }
    out << boost::json::serialize(list) << '\n';
}

} // namespace

void print_measurements(std::ostream& out, const std::vector<measurement>& measurements, bool json)
{
    if (json)
    {
        print_json(out, measurements);
        return;
    }
    for (const auto& it : measurements)
    {
        out << it.name << ' ' << it.value << ' ' << it.unit << '\n';
    }
}

} // namespace mangovane::bench
