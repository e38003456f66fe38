// Tests that the settings of the planned size fit into a frame.
#include <string>

#include <doctest/doctest.h>

#include "mangovane/wire/codec.hpp"

using namespace mangovane;

TEST_CASE("settings spread between instances at the planned size")
{
    // Guards against a limit on the text that the settings of two years do not fit into: peers
    // would refuse the frame and keep their version.
    constexpr std::size_t accounts = 7300;
    constexpr std::size_t account_bytes = 250; ///< Measured: 1.82 MB for 7,300 accounts.
    const settings_content content{{2, 3}, std::string(accounts * account_bytes, 'x')};
    const frame sent{instance_id{1}, 1, std::nullopt, {content}};

    SUBCASE("one instance sends them, and the other reads the same text")
    {
        const auto bytes = encode_frame(sent, time_point{});
        REQUIRE(bytes.ok());
        CHECK(bytes->size() <= max_settings_frame_bytes);
        const std::string body = bytes->substr(frame_prefix_bytes);
        const auto received = decode_frame(body, time_point{});
        REQUIRE(received.ok());
        CHECK(*received == sent);
    }
}
