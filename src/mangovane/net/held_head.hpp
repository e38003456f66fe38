// Head of a request as compact text, for the time in which the request is held.
#ifndef MANGOVANE_NET_HELD_HEAD_HPP
#define MANGOVANE_NET_HELD_HEAD_HPP

#include <cstddef>
#include <string>

#include <boost/beast/http/message.hpp>

namespace mangovane
{

/// A parsed head takes an allocation for each field, up to 20 times the bytes that were sent; this
/// form takes no more than those bytes.
class held_head
{
public:
    using request_head = boost::beast::http::request_header<>;

    held_head() = default;
    explicit held_head(const request_head& head);

    /// The head with its fields in the same order.
    [[nodiscard]] request_head expand() const;

    [[nodiscard]] boost::beast::http::verb method() const;
    [[nodiscard]] const std::string& target() const noexcept { return target_; }

    /// Memory that the texts take.
    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return method_.capacity() + target_.capacity() + fields_.capacity();
    }

    bool operator==(const held_head&) const = default;

private:
    std::string method_;
    std::string target_;
    std::string fields_; ///< `name:value` and a line feed for each field.
};

} // namespace mangovane

#endif
