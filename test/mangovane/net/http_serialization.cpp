// Tests of the serialization of HTTP heads and chunks. A forwarded hop-by-hop field or a second
// body length would let two HTTP parsers disagree on where a message ends.
#include "mangovane/net/http_serialization.hpp"

#include <doctest/doctest.h>

using namespace mangovane;
namespace http = boost::beast::http;

TEST_CASE("a forwarded request head")
{
    http::request_header<> head;
    head.method(http::verb::post);
    head.target("/grant/1?x=2");
    head.set("Host", "desk.example");
    head.set("Connection", "keep-alive, X-Hop");
    head.set("Keep-Alive", "timeout=5");
    head.set("Transfer-Encoding", "chunked");
    head.set("X-Hop", "1");
    head.set("X-Kept", "2");
    remove_hop_by_hop_fields(head);

    SUBCASE("has no hop-by-hop fields, including those listed in Connection")
    {
        CHECK(head.count("X-Hop") == 0);
        CHECK(head.count("Keep-Alive") == 0);
        CHECK(head.count("Transfer-Encoding") == 0);
        CHECK(head.count("X-Kept") == 1);
    }
    SUBCASE("states the length of its body only once")
    {
        head.set("Content-Length", "999");
        const auto text = serialize_head(head, {false, 7}, false);
        CHECK(text == "POST /grant/1?x=2 HTTP/1.1\r\nHost: desk.example\r\nX-Kept: 2\r\n"
                      "Content-Length: 7\r\nConnection: close\r\n\r\n");
    }
}

TEST_CASE("chunks")
{
    CHECK(encode_chunk("0123456789abcdefg") == "11\r\n0123456789abcdefg\r\n");
    CHECK(encode_chunk("") == "0\r\n\r\n");
}
