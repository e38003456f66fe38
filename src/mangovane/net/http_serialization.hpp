// Serialization of HTTP message heads and chunks, and removal of hop-by-hop fields.
#ifndef MANGOVANE_NET_HTTP_SERIALIZATION_HPP
#define MANGOVANE_NET_HTTP_SERIALIZATION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/verb.hpp>

namespace mangovane
{

/// Removes the hop-by-hop fields: the standard ones and those listed in `Connection`.
void remove_hop_by_hop_fields(boost::beast::http::fields& fields);

/// How the body that follows a head is delimited.
struct body_framing
{
    bool chunked{false};
    std::optional<std::uint64_t> length; ///< Bytes. Empty: no Content-Length.

    bool operator==(const body_framing&) const = default;
};

/// Framing of a request whose body is known: without a length only if the method has no body.
[[nodiscard]] body_framing framing_of(boost::beast::http::verb method, std::size_t body_bytes);

/// Request line, fields and the terminating empty line; `Connection: close` unless `keep_alive`.
[[nodiscard]] std::string serialize_head(const boost::beast::http::request_header<>& head,
                                         const body_framing& framing,
                                         bool keep_alive);

/// Status line, fields and the terminating empty line; `Connection: close` unless `keep_alive`.
[[nodiscard]] std::string serialize_head(const boost::beast::http::response_header<>& head,
                                         const body_framing& framing,
                                         bool keep_alive);

/// One chunk of a chunked body; the last chunk if `bytes` is empty.
[[nodiscard]] std::string encode_chunk(std::string_view bytes);

} // namespace mangovane

#endif
