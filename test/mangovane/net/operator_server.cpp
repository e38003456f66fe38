// Tests of the operator API over loopback connections: a request without the operator key must get
// nothing, not even whether a path exists.
#include "mangovane/net/operator_server.hpp"

#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/status_json.hpp"

using namespace mangovane;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

class fixed_status final : public status_source
{
public:
    [[nodiscard]] fleet_status status() const override
    {
        return {{{"r1", "lekki-b", "alive", 7}},
                {{"engine-1", "oro-model", "lekki-b", "cold", 3, 5, 4, "r1"}}};
    }
};

struct operator_fixture
{
    operator_fixture()
    {
        REQUIRE(server.listen("127.0.0.1:0").ok());
        thread = std::thread{[this] { io.run(); }};
    }

    ~operator_fixture()
    {
        io.stop();
        thread.join();
    }

    http::response<http::string_body>
    fetch(const std::string& target, const std::string& header, http::verb verb = http::verb::get)
    {
        asio::io_context client;
        asio::ip::tcp::socket socket{client};
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        http::request<http::empty_body> request{verb, target, 11};
        request.set(http::field::authorization, header);
        http::write(socket, request);
        boost::beast::flat_buffer buf;
        http::response<http::string_body> reply;
        http::read(socket, buf, reply);
        return reply;
    }

    asio::io_context io;
    fixed_status source;
    operator_server server{io, {source, [] { return std::string{"up 1\n"}; }, "secret"}};
    std::thread thread;
};

} // namespace

TEST_CASE("the operator API")
{
    operator_fixture fix;
    SUBCASE("serves the complete status to a request with the key (guards against a missing field, "
            "which "
            "makes mangovanectl --wait fail)")
    {
        const auto reply = fix.fetch("/operator/status", "Bearer secret");
        CHECK(reply.result() == http::status::ok);
        const auto status = parse_status(reply.body());
        REQUIRE(status.ok());
        CHECK(*status == fix.source.status());
    }
    SUBCASE("serves the metrics text")
    {
        CHECK(fix.fetch("/operator/metrics", "Bearer secret").body() == "up 1\n");
    }
    SUBCASE("responds 401 without a body to any request that lacks the key")
    {
        for (const auto* header : {"", "secret", "Bearer ", "Bearer secre", "Bearer secret2"})
        {
            for (const auto* target : {"/operator/status", "/other"})
            {
                const auto reply = fix.fetch(target, header);
                CHECK(reply.result() == http::status::unauthorized);
                CHECK(reply.body().empty());
            }
        }
    }
    SUBCASE("refuses other paths and methods")
    {
        CHECK(fix.fetch("/other", "Bearer secret").result() == http::status::not_found);
        CHECK(fix.fetch("/operator/status", "Bearer secret", http::verb::post).result() ==
              http::status::method_not_allowed);
    }
}

TEST_CASE("an instance without a key refuses every operator, because an empty key matches anyone")
{
    CHECK_FALSE(is_authorized("Bearer ", ""));
    CHECK(is_authorized("Bearer k", "k"));
}
