// One request on a connection to an endpoint: writes it and reads the answer at the same time,
// since an endpoint may answer before it has read a long body.
#ifndef MANGOVANE_NET_UPSTREAM_CALL_HPP
#define MANGOVANE_NET_UPSTREAM_CALL_HPP

#include <memory>
#include <optional>
#include <span>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace mangovane
{

/// All functions run on the executor, which is a strand. There are no timeouts here: the owner
/// calls `close`, which ends whatever is under way with an error.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    using error_code = boost::system::error_code;
    using head_type = boost::beast::http::response_header<>;

    explicit upstream_call(const boost::asio::any_io_executor& executor) : socket_{executor} {}

    /// False when there is no connection; nothing has been sent then.
    boost::asio::awaitable<bool> connect(const std::string& address);

    /// Starts to write. From here on the endpoint may run the request.
    void send(std::string head, std::shared_ptr<const std::string> body);

    /// Reads the head of the final answer. `head_only`: the answer has no body whatever it says.
    boost::asio::awaitable<error_code> read_head(bool head_only);

    [[nodiscard]] const head_type& head() const { return parser_->get().base(); }

    /// Reads a part of the body into the buffer. An answer that ends with the connection is whole
    /// only when the connection was closed in order.
    boost::asio::awaitable<error_code> read_some(std::span<char> buf, std::size_t& count);

    /// Whether the whole answer was read.
    [[nodiscard]] bool done() const { return parser_->is_done(); }

    void close();

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    std::string head_out_;                        ///< Being written.
    std::shared_ptr<const std::string> body_out_; ///< Being written.
    bool closed_{false};
};

} // namespace mangovane

#endif
