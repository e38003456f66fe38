// Guards against operators who cannot see which requests are refused, since when and why, or cannot
// lift it.
#include "mangovane/daemon/quarantine_pages.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

/// Keeps the lines of a log.
class line_recorder final : public log_output
{
public:
    std::size_t write(std::string_view bytes) override
    {
        text += bytes;
        return bytes.size();
    }

    std::string text;
};

} // namespace

TEST_CASE("the operators' pages of the quarantine")
{
    const time_point start{seconds{1000}};
    prompt_quarantine quarantine{1};
    const std::vector<prompt_part> prompt{{0x5c1e07a2, 500}};
    for (int n = 0; n != 3; ++n)
    {
        (void)quarantine.on_crash(static_cast<std::uint64_t>(n) + 1, {prompt}, start + seconds{n});
    }
    const auto now = start + seconds{10};

    SUBCASE("list the refused parts with the age of the evidence")
    {
        const auto page = quarantine_page(quarantine, {"GET", "/quarantine"}, now);
        REQUIRE(page);
        CHECK(page->status == 200);
        CHECK(page->body.find(R"("part":"5c1e07a2","crashes":3,"first_crash_ms":10000,)"
                              R"("last_crash_ms":8000)") != std::string::npos);
    }
    SUBCASE("lift the quarantine of a part")
    {
        CHECK(quarantine_page(quarantine, {"POST", "/quarantine/lift/5c1e07a2"}, now)->status ==
              200);
        CHECK_FALSE(quarantine.check({prompt}, now));
        CHECK(quarantine_page(quarantine, {"GET", "/quarantine"}, now)->body ==
              "{\"refused\":[]}\n");
        CHECK(quarantine_page(quarantine, {"POST", "/quarantine/lift/5c1e07a2"}, now)->status ==
              404);
    }
    SUBCASE("are completed by a line in the log for each change")
    {
        line_recorder lines;
        event_log log{lines, log_limits{}, now};
        log_quarantine_changes(quarantine, log, now);
        log.flush(now);
        CHECK(lines.text.find("event=part_suspected part=5c1e07a2 crash=1") != std::string::npos);
        CHECK(lines.text.find("event=part_quarantined part=5c1e07a2 crashes=3 "
                              "first_crash_ms=10000 last_crash_ms=8000") != std::string::npos);
    }
    SUBCASE("change nothing on a request that only reads, or that names no part")
    {
        CHECK_FALSE(quarantine_page(quarantine, {"GET", "/quarantine/lift/5c1e07a2"}, now));
        CHECK(quarantine_page(quarantine, {"POST", "/quarantine/lift/xyz"}, now)->status == 400);
        CHECK_FALSE(quarantine_page(quarantine, {"GET", "/metrics"}, now));
        CHECK(quarantine.check({prompt}, now));
    }
}
