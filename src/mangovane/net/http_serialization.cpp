// Serialization of HTTP message heads and chunks.
#include "mangovane/net/http_serialization.hpp"

#include <array>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/beast/http/rfc7230.hpp>

namespace mangovane
{

namespace http = boost::beast::http;

namespace
{

constexpr std::array hop_by_hop_fields{
    http::field::connection,        http::field::keep_alive, http::field::te,
    http::field::trailer,           http::field::upgrade,    http::field::proxy_connection,
    http::field::transfer_encoding, http::field::expect,
};

absl::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

void append_fields(const http::fields& fields,
                   const body_framing& framing,
                   bool keep_alive,
                   std::string& out)
{
    // A string that grows in steps takes up to twice its size while the request is sent.
    constexpr std::size_t separators = 4;
    constexpr std::size_t framing_bytes = 96;
    auto size = out.size() + framing_bytes;
    for (const auto& it : fields)
    {
        size += it.name_string().size() + it.value().size() + separators;
    }
    out.reserve(size);
    for (const auto& it : fields)
    {
        if (it.name() != http::field::content_length)
        {
            absl::StrAppend(&out, view_of(it.name_string()), ": ", view_of(it.value()), "\r\n");
        }
    }
    if (framing.chunked)
    {
        out += "Transfer-Encoding: chunked\r\n";
    }
    else if (framing.length)
    {
        absl::StrAppend(&out, "Content-Length: ", *framing.length, "\r\n");
    }
    out += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
}

} // namespace

void remove_hop_by_hop_fields(http::fields& fields)
{
    std::vector<std::string> listed;
    for (const auto& it : http::token_list{fields[http::field::connection]})
    {
        listed.emplace_back(it);
    }
    for (const auto& it : listed)
    {
        fields.erase(it);
    }
    for (const auto it : hop_by_hop_fields)
    {
        fields.erase(it);
    }
}

body_framing framing_of(http::verb method, std::size_t body_bytes)
{
    const bool bodiless =
        method == http::verb::get || method == http::verb::head || method == http::verb::delete_;
    const bool framed = !bodiless || body_bytes != 0;
    return {false, framed ? std::optional<std::uint64_t>{body_bytes} : std::nullopt};
}

std::string
serialize_head(const http::request_header<>& head, const body_framing& framing, bool keep_alive)
{
    std::string out =
        absl::StrCat(view_of(head.method_string()), " ", view_of(head.target()), " HTTP/1.1\r\n");
    append_fields(head, framing, keep_alive, out);
    return out;
}

std::string
serialize_head(const http::response_header<>& head, const body_framing& framing, bool keep_alive)
{
    std::string out =
        absl::StrCat("HTTP/1.1 ", head.result_int(), " ", view_of(head.reason()), "\r\n");
    append_fields(head, framing, keep_alive, out);
    return out;
}

std::string encode_chunk(std::string_view bytes)
{
    return absl::StrCat(absl::Hex(bytes.size()), "\r\n", view_of({bytes.data(), bytes.size()}),
                        "\r\n");
}

} // namespace mangovane
