// Output of figures.
#include "bench/figure.hpp"

#include <ostream>

#include <boost/json.hpp>

namespace mangovane::bench
{

namespace
{

void print_json(std::ostream& out, const std::vector<figure>& figures)
{
    boost::json::array list;
    for (const auto& it : figures)
    {
        list.push_back(
            boost::json::object{{"name", it.name}, {"value", it.value}, {"unit", it.unit}});
    }
    out << boost::json::serialize(list) << '\n';
}

} // namespace

void print_figures(std::ostream& out, const std::vector<figure>& figures, bool json)
{
    if (json)
    {
        print_json(out, figures);
        return;
    }
    for (const auto& it : figures)
    {
        out << it.name << ' ' << it.value << ' ' << it.unit << '\n';
    }
}

} // namespace mangovane::bench
