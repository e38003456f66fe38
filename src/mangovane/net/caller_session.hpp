// One connection of a caller: reads requests, hands them to the coordinator and writes their
// answers.
#ifndef MANGOVANE_NET_CALLER_SESSION_HPP
#define MANGOVANE_NET_CALLER_SESSION_HPP

#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/parser.hpp>

#include "mangovane/net/endpoint_attempt.hpp"
#include "mangovane/net/exchange.hpp"

namespace mangovane
{

class caller_session final : public response_sink,
                             public std::enable_shared_from_this<caller_session>
{
public:
    /// The socket's executor is a strand.
    caller_session(boost::asio::ip::tcp::socket socket, frontend_services& services);

    /// Serves the connection until it closes.
    boost::asio::awaitable<void> run();

    /// Closes the connection if it is between two requests, else after the current answer.
    /// May be called from any thread.
    void request_drain();

    [[nodiscard]] bool is_current(const attempt_id& attempt) const override;
    void on_answer_started(const attempt_id& attempt) override;
    [[nodiscard]] boost::beast::tcp_stream* caller() override;
    void on_caller_lost() override;

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<std::optional<http_request>> read_request();
    boost::asio::awaitable<void> serve(const http_request& req);
    boost::asio::awaitable<void>
    serve_local(const http_request& req, unsigned status, std::string text);
    boost::asio::awaitable<void> route(caller_request req);
    boost::asio::awaitable<void> watch_caller(std::shared_ptr<exchange> ex);
    /// Refuses a request that has not reached routing.
    boost::asio::awaitable<void> refuse_early(error_kind kind, std::string message);
    boost::asio::awaitable<void> write_error(error_kind kind, std::string message);
    boost::asio::awaitable<void>
    write_answer(unsigned status, std::string type, std::string body, std::uint32_t retry_after_s);
    void start_attempt(const send_attempt& action);
    void observe(std::string outcome);
    void drain();

    boost::beast::tcp_stream stream_;
    frontend_services& services_;
    boost::beast::flat_buffer buffer_;
    std::shared_ptr<exchange> exchange_;        ///< Of the current request.
    std::shared_ptr<endpoint_attempt> attempt_; ///< Current attempt; null between attempts.
    std::optional<caller_request> request_;     ///< Current request.
    request_record record_;
    time_point accepted_at_;
    bool keep_alive_{true};
    bool head_{false}; ///< The current request is a HEAD.
    bool idle_{true};  ///< Between two requests.
    bool draining_{false};
    bool caller_lost_{false};
};

} // namespace mangovane

#endif
