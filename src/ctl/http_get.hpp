// GET requests to instances.
#ifndef MANGOVANE_CTL_HTTP_GET_HPP
#define MANGOVANE_CTL_HTTP_GET_HPP

#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace mangovane::ctl
{

using http_reply = boost::beast::http::response<boost::beast::http::string_body>;

/// Sends one request on a new connection, with the key if there is one, and blocks until the reply
/// has been read. Error: `kUnavailable`.
[[nodiscard]] absl::StatusOr<http_reply> http_get(const boost::asio::ip::tcp::endpoint& endpoint,
                                                  const std::string& target,
                                                  const std::string& key);

} // namespace mangovane::ctl

#endif
