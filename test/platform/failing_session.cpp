// Guards against requests that get no answer when an exception ends the work of their session, and
// against endpoints and servers that stay occupied by it.
#include <atomic>
#include <memory>
#include <stdexcept>
#include <thread>

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "dialect.hpp"
#include "mangovane/net/forward_server.hpp"
#include "mangovane/net/task_monitor.hpp"
#include "mangovane/observe/request_metrics.hpp"
#include "manifest.hpp"
#include "platform/raw_caller.hpp"
#include "platform/scripted_endpoint.hpp"
#include "platform/store_text.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

constexpr milliseconds read_timeout{3000};
constexpr std::string_view stream_event = "id: 1\ndata: x\n\n";

class discarding_sink final : public message_sink
{
public:
    void send(const outgoing_message&) override {}
};

class discarding_output final : public log_output
{
public:
    std::size_t write(std::string_view bytes) override { return bytes.size(); }
};

/// Functions of the dialect that a session calls in this order.
enum class failing_step : std::uint8_t
{
    none,
    read,     ///< Before the request is accepted.
    write,    ///< When an endpoint was chosen.
    classify, ///< When the endpoint may have run the request.
};

/// The platform's dialect, which throws at one step.
class failing_dialect final : public http_dialect
{
public:
    std::string request_id(const request_head& head) const override
    {
        return inner_.request_id(head);
    }
    absl::StatusOr<forward_request>
    read(const request_head& head, const settings_ptr& settings, time_point now) const override
    {
        fail_at(failing_step::read);
        return inner_.read(head, settings, now);
    }
    request_head write(request_head head,
                       const forward_request& request,
                       const send_step& step,
                       const std::optional<resume_point>& resume,
                       time_point now) const override
    {
        fail_at(failing_step::write);
        return inner_.write(head, request, step, resume, now);
    }
    response_class classify(const mangovane::response_head& head,
                            const forward_request& request) const override
    {
        fail_at(failing_step::classify);
        return inner_.classify(head, request);
    }
    endpoint_notice notice_of(const mangovane::response_head& head, time_point now) const override
    {
        return inner_.notice_of(head, now);
    }
    std::string weights_version_of(const mangovane::response_head& head) const override
    {
        return inner_.weights_version_of(head);
    }

    std::atomic<failing_step> step{failing_step::none};

private:
    void fail_at(failing_step current) const
    {
        if (step == current)
        {
            throw std::runtime_error{"injected"};
        }
    }

    const platform::dialect inner_;
};

asio::awaitable<void> one_event(const request& req, reply& rep)
{
    co_await rep.raw(
        test::response_head(req, 200, absl::StrCat("\r\n", std::string{stream_event})));
    co_await rep.close();
}

/// A server with one endpoint of each service, in this process.
class served_routes
{
public:
    served_routes()
        : core_{{}, sink_, &platform::decode_settings, clock::now()}, log_{output_, log_limits{},
                                                                           clock::now()},
          services_{core_, dialect, log_, metrics, {}}, server_{io_, services_}
    {
        const auto text = platform::encode_operator_state({configuration_text({}), {}});
        core_.adopt_settings(*platform::decode_settings(text, 1), clock::now());
        add_endpoint("model", "dictamen", 1);
        add_endpoint("plain", "ventanilla", 2);
        core_.refresh(clock::now());
        REQUIRE(server_.listen("127.0.0.1:0").ok());
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~served_routes()
    {
        io_.stop();
        thread_.join();
    }
    served_routes(const served_routes&) = delete;
    served_routes& operator=(const served_routes&) = delete;

    /// All bytes of the response to a request on a new connection.
    [[nodiscard]] std::string call(const std::string& method, const std::string& route) const
    {
        raw_caller caller{absl::StrCat("127.0.0.1:", server_.port())};
        caller.send(request_text(method, route, "one", "Connection: close\r\n"));
        return caller.read_all(read_timeout);
    }
    [[nodiscard]] std::uint64_t failures() { return task_monitor_of(io_).failures(); }
    [[nodiscard]] std::size_t open_sessions() const { return server_.open_sessions(); }
    /// Requests in progress at the endpoint, as this instance counts them.
    [[nodiscard]] std::uint32_t load(const std::string& endpoint)
    {
        return core_.tracker().snapshot_of(endpoint_id::of(endpoint), {}, clock::now()).load;
    }

    failing_dialect dialect;
    request_metrics metrics;

private:
    void add_endpoint(const std::string& name, const std::string& service, std::uint64_t revision)
    {
        endpoint_change change;
        change.name = name;
        change.revision = revision;
        change.info.emplace();
        change.info->id = endpoint_id::of(name);
        change.info->service = service_id::of(service);
        change.info->name = name;
        change.info->address = endpoint_.address();
        core_.catalog().apply({change}, revision, clock::now());
    }

    scripted_endpoint endpoint_{one_event};
    discarding_sink sink_;
    discarding_output output_;
    forward_core core_;
    event_log log_;
    asio::io_context io_{1};
    forward_services services_;
    forward_server server_;
    std::thread thread_;
};

} // namespace

TEST_CASE("a session whose work an exception ends")
{
    served_routes routes;
    REQUIRE(status_of(routes.call("POST", "rights")) == 200);

    SUBCASE("before the request was accepted answers it")
    {
        routes.dialect.step = failing_step::read;
        CHECK(status_of(routes.call("POST", "grant")) == 500);
    }
    SUBCASE("before the request was sent answers it, and returns the endpoint's capacity")
    {
        routes.dialect.step = failing_step::write;
        CHECK(status_of(routes.call("POST", "grant")) == 500);
        CHECK(routes.load("plain") == 0);
    }
    SUBCASE("after the request may have run answers it without a promise, and returns the capacity")
    {
        routes.dialect.step = failing_step::classify;
        for (const std::string route : {"grant", "rights", "review"})
        {
            CHECK(status_of(routes.call("POST", route)) == 500);
        }
        CHECK(routes.load("plain") == 0);
        CHECK(routes.load("model") == 0);
    }
    SUBCASE("is reported, and the server serves on")
    {
        routes.dialect.step = failing_step::classify;
        (void)routes.call("POST", "rights");
        CHECK(routes.failures() == 1);
        CHECK(routes.metrics.text(false).find(
                  "mangovane_session_ends_total{reason=\"failed\"} 1") != std::string::npos);
        routes.dialect.step = failing_step::none;
        CHECK(status_of(routes.call("POST", "rights")) == 200);
    }
}
