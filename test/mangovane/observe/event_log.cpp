// Tests of the event log: its volume is bounded, and writing never blocks. Guards against a slow or
// stopped log reader that blocks the process.
#include "mangovane/observe/event_log.hpp"

#include <algorithm>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{100}};

/// Accepts only as many bytes as `room` allows.
class limited_output final : public log_output
{
public:
    std::size_t write(std::string_view bytes) override
    {
        const auto n = std::min(room, bytes.size());
        text.append(bytes.substr(0, n));
        room -= n;
        return n;
    }

    std::string text;
    std::size_t room{1U << 30U};
};

std::size_t lines_in(const std::string& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

TEST_CASE("the event log")
{
    limited_output output;
    event_log log{output, log_limits{100, 50, 8192}, start};

    SUBCASE("writes a line for each event, with its time")
    {
        log.write("event=dispatch request=1", start);
        log.flush(start);
        CHECK(output.text.starts_with("time="));
        CHECK(output.text.ends_with("event=dispatch request=1\n"));
    }
    SUBCASE("keeps to its rate under ten times the usual load, and reports dropped lines")
    {
        for (auto now = start; now < start + seconds{10}; now += milliseconds{1})
        {
            log.write("event=dispatch", now);
            log.flush(now);
        }
        const auto lines = lines_in(output.text);
        const auto dropped_lines = log.dropped();
        CHECK(lines + dropped_lines >= 10000);
        CHECK(log.dropped() >= 10000 - (50 + 10 * 100 + 1));
        CHECK(output.text.find("event=log_dropped lines=") != std::string::npos);
    }
    SUBCASE("keeps a burst that exceeds its buffer while the reader accepts it")
    {
        for (int n = 0; n != 40; ++n)
        {
            log.write(std::string(1000, 'x'), start);
        }
        log.flush(start);
        CHECK(lines_in(output.text) == 40);
        CHECK(log.dropped() == 0);
    }
    SUBCASE("keeps essential lines beyond its rate")
    {
        for (int n = 0; n != 200; ++n)
        {
            log.write_essential("event=request_cut", start);
            log.write("event=dispatch", start);
        }
        log.flush(start);
        CHECK(lines_in(output.text) == 200 + 50 + 1);
        CHECK(log.dropped() == 150);
    }
    SUBCASE("buffers a bounded amount while the reader is stopped, and continues afterwards")
    {
        output.room = 10;
        for (int n = 0; n != 50; ++n)
        {
            log.write(std::string(1000, 'x'), start);
            log.flush(start);
        }
        CHECK(output.text.size() == 10);
        CHECK(log.dropped() >= 40);
        output.room = 1U << 20U;
        log.flush(start);
        CHECK(output.text.size() < 10000);
        log.write("event=after", start + seconds{1});
        log.flush(start + seconds{1});
        CHECK(output.text.find("event=after") != std::string::npos);
    }
}

TEST_CASE("a pipe without a reader does not block the writer")
{
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    fd_log_output output{ends[1]};
    const std::string block(65536, 'x');
    std::size_t taken = 0;
    for (int n = 0; n != 10; ++n)
    {
        taken += output.write(block);
    }
    // A blocking write would make the test hang before this line.
    CHECK(taken < 10 * block.size());
    CHECK(output.write(block) == 0);
    ::close(ends[0]);
    ::close(ends[1]);
}
