// Tests that settings of the planned size fit into a frame. With a lower limit, the other instances
// would reject the frame and keep their old version.
#include <string>

#include <doctest/doctest.h>

#include "mangovane/wire/codec.hpp"

using namespace mangovane;

TEST_CASE("settings of the planned size are replicated between instances")
{
    // The planned size: the accounts expected within two years.
    constexpr std::size_t accounts = 7300;
    constexpr std::size_t account_bytes = 250; ///< 7,300 accounts take 1.82 MB.
    const settings_content content{{2, 3}, std::string(accounts * account_bytes, 'x')};
    const frame sent{instance_id{1}, 1, std::nullopt, {content}};

    SUBCASE("one instance sends them, and another receives the same text")
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
