// Counts the allocations of a choice. Guards against lists that are made anew for each request: at
// hundreds of endpoints they cost more than the choice itself.
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "mangovane/forward/forward_core.hpp"
#include "mangovane/forward/forward_fixture.hpp"

namespace
{

thread_local std::size_t allocations = 0;

void* allocate(std::size_t size)
{
    ++allocations;
    void* const result = std::malloc(size == 0 ? 1 : size);
    if (result == nullptr)
    {
        throw std::bad_alloc{};
    }
    return result;
}

} // namespace

void* operator new(std::size_t size)
{
    return allocate(size);
}

void* operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void* it) noexcept
{
    std::free(it);
}

void operator delete[](void* it) noexcept
{
    std::free(it);
}

void operator delete(void* it, std::size_t) noexcept
{
    std::free(it);
}

void operator delete[](void* it, std::size_t) noexcept
{
    std::free(it);
}

using namespace mangovane;
using test::start;

TEST_CASE("a choice among many endpoints allocates nothing")
{
    // Once each endpoint that is chosen has a record, and the prefix a location.
    std::uint64_t chat = 0;
    SUBCASE("without a prefix") {}
    SUBCASE("with a prefix")
    {
        chat = 5;
    }
    for (const auto mode : {placement_mode::least_loaded, placement_mode::even,
                            placement_mode::reported, placement_mode::plain})
    {
        CAPTURE(policy_of(mode).name);
        auto options = test::make_options("router", "ikeja-a");
        options.fleet.placement = mode;
        test::recording_sink sink;
        forward_core core{options, sink, {}, start};
        const auto settings = test::make_settings(10);
        core.adopt_settings(settings, start);
        std::vector<endpoint_change> entries;
        for (std::uint64_t n = 0; n != 300; ++n)
        {
            entries.push_back(
                test::make_entry("e" + std::to_string(n), test::model_service, "ikeja-a", n + 1));
        }
        core.catalog().replace(entries, entries.size(), start);
        core.refresh(start);
        const auto allocations_of_choice = [&]
        {
            const auto request = test::make_request(settings, "review", chat);
            const auto before = allocations;
            const auto chosen = core.choose(request, {}, choice_purpose::dispatch, start);
            const auto made = allocations - before;
            REQUIRE(chosen);
            return made;
        };
        for (int n = 0; n != 3000; ++n)
        {
            (void)allocations_of_choice();
        }
        for (int n = 0; n != 100; ++n)
        {
            CHECK(allocations_of_choice() == 0);
        }
    }
}
