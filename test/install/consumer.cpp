// Uses the installed decision library. Guards against a header or a dependency that is missing from
// the package.
#include <mangovane/ledger/endpoint_ledger.hpp>
#include <mangovane/placement/placement_strategy.hpp>
#include <mangovane/routing/request_flow.hpp>

int main()
{
    return mangovane::make_last_two_strategy()->name() == "last_two" ? 0 : 1;
}
