// Tests of the opening of a process's addresses. A process that ends because an address is held
// depends on whoever starts it again, which may wait for long or stop trying.
#include "mangovane/daemon/listener_group.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

/// An address that another socket holds for some attempts.
struct held_address
{
    int held_for{0}; ///< Attempts.
    int attempts{0};

    absl::Status open()
    {
        const bool held = attempts++ < held_for;
        return held ? absl::UnavailableError("Address already in use") : absl::OkStatus();
    }
};

} // namespace

TEST_CASE("the listeners of a process")
{
    boost::asio::io_context io;
    std::vector<std::string> lines;
    listener_group group{io, [&](const std::string& line) { lines.push_back(line); }};
    int opened = 0;
    absl::Status failure;
    const auto open = [&]
    { group.open([&] { ++opened; }, [&](const absl::Status& status) { failure = status; }); };
    const auto run_until = [&](const auto& condition)
    {
        for (int n = 0; n != 500 && !condition(); ++n)
        {
            io.run_for(milliseconds{10});
            io.restart();
        }
    };
    held_address callers;
    group.add({"callers", "127.0.0.1:1", [&] { return callers.open(); }});

    SUBCASE("are open at once if no address is held")
    {
        open();
        CHECK(opened == 1);
        CHECK(lines.empty());
    }
    SUBCASE("are tried again while an address is held, and the reason is logged once")
    {
        callers.held_for = 3;
        open();
        CHECK(opened == 0);
        run_until([&] { return opened != 0; });
        CHECK(opened == 1);
        CHECK(callers.attempts == 4);
        REQUIRE(lines.size() == 1);
        CHECK(lines[0] == "event=listen_failed listener=callers reason=\"Address already in use\"");
        CHECK(failure.ok());
    }
    SUBCASE("do not wait for an address that serving does not need")
    {
        held_address metrics{3};
        group.add({"metrics", "127.0.0.1:2", [&] { return metrics.open(); }, false});
        open();
        CHECK(opened == 1);

        SUBCASE("which is opened later")
        {
            run_until([&] { return metrics.attempts == 4; });
            CHECK(metrics.attempts == 4);
            CHECK(opened == 1);
        }
    }
    SUBCASE("fail at once if an address cannot be bound for another reason")
    {
        group.add({"peers", "127.0.0.1:3",
                   [] { return absl::FailedPreconditionError("Permission denied"); }});
        open();
        CHECK(opened == 0);
        CHECK(absl::IsFailedPrecondition(failure));
    }
    SUBCASE("are not tried again after a stop")
    {
        callers.held_for = 3;
        open();
        group.stop();
        io.run_for(milliseconds{300});
        CHECK(callers.attempts == 1);
        CHECK(opened == 0);
    }
}
