// Implementation of the platform client over HTTP.
#include "mangovane/store/http_platform.hpp"

#include <utility>

#include <absl/strings/str_cat.h>

#include "mangovane/store/http_pool.hpp"
#include "mangovane/store/platform_codec.hpp"
#include "mangovane/store/request_target.hpp"

namespace mangovane
{

namespace http = boost::beast::http;

namespace
{

http_pool::request make_request(http::verb verb, const std::string& target, std::string body = {})
{
    http_pool::request req{verb, target, 11};
    if (!body.empty())
    {
        req.set(http::field::content_type, "application/json");
    }
    req.body() = std::move(body);
    return req;
}

/// Error for a response whose status is not 2xx.
absl::Status error_of(unsigned status)
{
    const auto text = absl::StrCat("the platform responded with status ", status);
    if (status == 404)
    {
        return absl::NotFoundError(text);
    }
    if (status == 429)
    {
        return absl::ResourceExhaustedError(text);
    }
    if (status >= 400 && status < 500)
    {
        return absl::InvalidArgumentError(text);
    }
    return absl::UnavailableError(text);
}

/// The body of a successful response.
absl::StatusOr<std::string> body_of(absl::StatusOr<http_response> response)
{
    if (!response.ok())
    {
        return response.status();
    }
    if (response->status < 200 || response->status > 299)
    {
        return error_of(response->status);
    }
    return std::move(response->body);
}

/// The row in the response to a read; a missing row is not an error.
absl::StatusOr<std::optional<table_row>> row_of(absl::StatusOr<http_response> response)
{
    const auto body = body_of(std::move(response));
    if (absl::IsNotFound(body.status()))
    {
        return std::optional<table_row>{};
    }
    if (!body.ok())
    {
        return body.status();
    }
    auto row = decode_row(*body);
    if (!row.ok())
    {
        return row.status();
    }
    return std::optional<table_row>{*std::move(row)};
}

} // namespace

http_platform::http_platform(std::shared_ptr<http_pool> pool) : pool_{std::move(pool)} {}

http_platform::~http_platform() = default;

void http_platform::read(std::string key, time_point deadline, read_handler handler)
{
    pool_->send(make_request(http::verb::get, "/v1/table/" + percent_encode(key)), deadline,
                [handler = std::move(handler)](absl::StatusOr<http_response> response)
                { handler(row_of(std::move(response))); });
}

void http_platform::write(std::vector<table_write> writes,
                          time_point deadline,
                          write_handler handler)
{
    pool_->send(
        make_request(http::verb::post, "/v1/table/write", encode_writes(writes)), deadline,
        [handler = std::move(handler), n = writes.size()](absl::StatusOr<http_response> response)
        {
            const auto body = body_of(std::move(response));
            handler(body.ok() ? decode_results(*body, n) : body.status());
        });
}

void http_platform::get(std::string name, time_point deadline, get_handler handler)
{
    pool_->send(make_request(http::verb::get, "/v1/objects/" + percent_encode(name)), deadline,
                [handler = std::move(handler)](absl::StatusOr<http_response> response)
                { handler(body_of(std::move(response))); });
}

void http_platform::put(std::string name,
                        std::string content,
                        time_point deadline,
                        put_handler handler)
{
    auto req =
        make_request(http::verb::put, "/v1/objects/" + percent_encode(name), std::move(content));
    req.set(http::field::content_type, "application/octet-stream");
    pool_->send(std::move(req), deadline,
                [handler = std::move(handler)](absl::StatusOr<http_response> response)
                { handler(body_of(std::move(response)).status()); });
}

void http_platform::fetch(time_point deadline, handler handler)
{
    pool_->send(make_request(http::verb::get, "/v1/instances"), deadline,
                [handler = std::move(handler)](absl::StatusOr<http_response> response)
                {
                    const auto body = body_of(std::move(response));
                    handler(body.ok() ? decode_discovery_list(*body) : body.status());
                });
}

std::unique_ptr<http_platform> make_http_platform(boost::asio::io_context& io, std::string address)
{
    return std::make_unique<http_platform>(std::make_shared<http_pool>(io, std::move(address)));
}

} // namespace mangovane
