// Tests of the observer of a start. A step that is reached late is the one that an operator looks
// for.
#include "mangovane/observe/startup_observer.hpp"

#include <doctest/doctest.h>

#include "mangovane/observe/request_metrics.hpp"

using namespace mangovane;

namespace
{

class text_output final : public log_output
{
public:
    std::size_t write(std::string_view bytes) override
    {
        text.append(bytes);
        return bytes.size();
    }

    std::string text;
};

} // namespace

TEST_CASE("the observer of a start")
{
    const auto now = clock::now();
    text_output output;
    event_log log{output, log_limits{}, now};
    request_metrics metrics;
    startup_record record{now - startup_record::length};
    startup_observer observer{metrics, record, log};
    const auto logs = [&](const std::string& text)
    {
        log.flush(now);
        return output.text.find(text) != std::string::npos;
    };

    SUBCASE("logs the first request that ended and the first one that was served, also after the "
            "summary (guards against a late return that leaves no line)")
    {
        observer.tick(now);
        REQUIRE(logs("event=startup_summary"));
        observer.on_early_refusal(error_kind::not_ready);
        CHECK(logs("event=startup_step step=request_ended"));
        CHECK_FALSE(logs("step=request_served"));
        request_record served;
        served.outcome = "ok";
        observer.on_request_end(served);
        CHECK(logs("event=startup_step step=request_served"));
    }
}
