// Heads of HTTP messages as bytes, and the fields that concern one connection only.
#ifndef MANGOVANE_NET_HTTP_SERIALIZATION_HPP
#define MANGOVANE_NET_HTTP_SERIALIZATION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>

namespace mangovane
{

/// Removes the fields that concern one connection: the usual ones and those that `Connection`
/// names.
void remove_hop_by_hop_fields(boost::beast::http::fields& fields);

/// How the body after a head is delimited.
struct body_framing
{
    bool chunked{false};
    std::optional<std::uint64_t> length; ///< Written unless chunked; nothing: no body field.

    bool operator==(const body_framing&) const = default;
};

/// Request line, fields and the empty line.
[[nodiscard]] std::string serialize_head(const boost::beast::http::request_header<>& head,
                                         const body_framing& framing,
                                         bool keep_alive);

/// Status line, fields and the empty line.
[[nodiscard]] std::string serialize_head(const boost::beast::http::response_header<>& head,
                                         const body_framing& framing,
                                         bool keep_alive);

/// A chunk of a chunked body; the last one for an empty text.
[[nodiscard]] std::string encode_chunk(std::string_view bytes);

} // namespace mangovane

#endif
