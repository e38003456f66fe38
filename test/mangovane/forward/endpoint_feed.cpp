// Tests of the distribution of a long endpoint list. Guards against a reader that builds and holds
// the list once for each instance of its domain.
#include <map>

#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr std::size_t endpoint_count = 3000;
constexpr std::size_t list_parts = endpoint_count / max_update_rows;

/// Counts the parts of lists that each instance is sent.
class list_recorder final : public message_sink
{
public:
    void send(const outgoing_message& msg) override { send_to_group({{msg.to}, msg.body}); }

    void send_to_group(const group_message& msg) override
    {
        if (std::holds_alternative<endpoint_update>(msg.body))
        {
            ++encoded_parts;
            for (const auto to : msg.to)
            {
                ++parts[to];
            }
        }
    }

    std::size_t encoded_parts{0};
    std::map<instance_id, std::size_t> parts;
};

std::vector<endpoint_change> make_entries(std::size_t count)
{
    std::vector<endpoint_change> result;
    for (std::size_t n = 0; n != count; ++n)
    {
        result.push_back(make_entry("e" + std::to_string(n), model_service, "ikeja-a", n + 1));
    }
    return result;
}

} // namespace

TEST_CASE("a reader that 100 instances ask for the list at once")
{
    list_recorder sink;
    forward_core core{make_options("127.0.0.1", "ikeja-a"), sink, nullptr, start};

    SUBCASE("sends each of them 3,000 endpoints once, in a few encoded copies")
    {
        core.catalog().replace(make_entries(endpoint_count), endpoint_count, start);
        for (std::uint64_t n = 1; n <= 100; ++n)
        {
            core.on_message(instance_id{n}, endpoint_query{0}, start);
        }
        CHECK(sink.encoded_parts == list_parts);
        for (auto now = start; now < start + seconds{2}; now += milliseconds{100})
        {
            core.tick(now);
        }
        CHECK(sink.parts.size() == 100);
        for (const auto& [id, count] : sink.parts)
        {
            CHECK(count == list_parts);
        }
        // The first request is served at once, and the others by 16.
        CHECK(sink.encoded_parts == list_parts * 8);
    }
    SUBCASE("sends a short list at once to each")
    {
        core.catalog().replace(make_entries(10), endpoint_count, start);
        for (std::uint64_t n = 1; n <= 100; ++n)
        {
            core.on_message(instance_id{n}, endpoint_query{0}, start);
        }
        CHECK(sink.parts.size() == 100);
    }
}
