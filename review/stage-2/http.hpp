// Blocking HTTP/1.1 helpers for the stand-ins: one thread serves one connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace stage
{

using steady = std::chrono::steady_clock;

inline double seconds_since(steady::time_point at)
{
    return std::chrono::duration<double>(steady::now() - at).count();
}

inline sockaddr_in parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &result.sin_addr) != 1)
    {
        throw std::runtime_error("no ip:port: " + text);
    }
    return result;
}

/// Starts a detached thread with a small stack: some scenarios need more than a thousand.
inline void start_thread(std::function<void()> work)
{
    pthread_attr_t attr;
    ::pthread_attr_init(&attr);
    ::pthread_attr_setstacksize(&attr, 256 * 1024);
    ::pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    auto* const arg = new std::function<void()>(std::move(work));
    const auto run = [](void* it) -> void*
    {
        const std::unique_ptr<std::function<void()>> owned{static_cast<std::function<void()>*>(it)};
        try
        {
            (*owned)();
        }
        catch (const std::exception&)
        {
            // A connection that fails ends its thread only.
        }
        return nullptr;
    };
    pthread_t id{};
    if (::pthread_create(&id, &attr, run, arg) != 0)
    {
        delete arg;
        throw std::runtime_error("no thread");
    }
    ::pthread_attr_destroy(&attr);
}

struct message
{
    std::string start_line;
    std::multimap<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string{} : it->second;
    }
    [[nodiscard]] std::string target() const
    {
        const auto from = start_line.find(' ') + 1;
        return start_line.substr(from, start_line.find(' ', from) - from);
    }
    [[nodiscard]] int status() const
    {
        return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9);
    }
};

class connection
{
public:
    explicit connection(int fd) : fd_{fd}
    {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection() { ::close(fd_); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] int fd() const { return fd_; }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty())
        {
            const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Waits until bytes or the end of the connection have arrived.
    [[nodiscard]] bool readable(int timeout_ms) const
    {
        pollfd it{fd_, POLLIN, 0};
        return ::poll(&it, 1, timeout_ms) == 1;
    }

    /// Appends what has arrived; false at the end of the connection or after the timeout.
    bool fill(int timeout_ms)
    {
        if (!readable(timeout_ms))
        {
            return false;
        }
        char buf[8192];
        const auto n = ::recv(fd_, buf, sizeof(buf), 0);
        if (n <= 0)
        {
            closed_ = true;
            return false;
        }
        in_.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    /// Reads one message with a length, with chunks, or, as a response without either, up to the
    /// end of the connection. False if none came whole in time.
    bool read(message& out, int timeout_ms)
    {
        const auto until = steady::now() + std::chrono::milliseconds{timeout_ms};
        const auto left = [&]
        {
            const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(until -
                                                                                  steady::now());
            return static_cast<int>(std::max<std::int64_t>(0, ms.count()));
        };
        out = {};
        std::size_t end = 0;
        while ((end = in_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill(left()))
            {
                return false;
            }
        }
        parse_head(in_.substr(0, end), out);
        in_.erase(0, end + 4);
        if (out.field("transfer-encoding") == "chunked")
        {
            return read_chunks(out, left);
        }
        const auto length = out.field("content-length");
        const std::size_t n = length.empty() ? 0 : std::stoul(length);
        while (in_.size() < n)
        {
            if (!fill(left()))
            {
                return false;
            }
        }
        out.body = in_.substr(0, n);
        in_.erase(0, n);
        return true;
    }

    [[nodiscard]] bool closed() const { return closed_; }

private:
    static void parse_head(const std::string& text, message& out)
    {
        auto line_end = std::min(text.find("\r\n"), text.size());
        out.start_line = text.substr(0, line_end);
        while (line_end < text.size())
        {
            const auto from = line_end + 2;
            line_end = std::min(text.find("\r\n", from), text.size());
            const auto line = text.substr(from, line_end - from);
            const auto colon = std::min(line.find(':'), line.size());
            auto name = line.substr(0, colon);
            for (auto& it : name)
            {
                it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
            }
            const auto value = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
            out.fields.emplace(name, line.substr(value));
        }
    }

    template <class Left>
    bool read_chunks(message& out, Left left)
    {
        while (true)
        {
            std::size_t end = 0;
            while ((end = in_.find("\r\n")) == std::string::npos)
            {
                if (!fill(left()))
                {
                    return false;
                }
            }
            const auto n = std::stoul(in_.substr(0, end), nullptr, 16);
            while (in_.size() < end + 2 + n + 2)
            {
                if (!fill(left()))
                {
                    return false;
                }
            }
            out.body += in_.substr(end + 2, n);
            in_.erase(0, end + 2 + n + 2);
            if (n == 0)
            {
                return true;
            }
        }
    }

    const int fd_;
    std::string in_;
    bool closed_{false};
};

using connection_ptr = std::shared_ptr<connection>;

/// Null if the connection is refused or takes longer than a second.
inline connection_ptr connect_to(const std::string& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto result = std::make_shared<connection>(fd);
    timeval timeout{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const auto to = parse_address(address);
    const bool ok = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
    return ok ? result : nullptr;
}

/// Listens and serves each connection in a thread of its own.
inline void serve(const std::string& address, std::function<void(connection_ptr)> handler)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto at = parse_address(address);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        ::listen(fd, 4096) != 0)
    {
        throw std::runtime_error("cannot listen on " + address);
    }
    start_thread(
        [fd, handler]
        {
            while (true)
            {
                const int it = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (it < 0)
                {
                    continue;
                }
                start_thread([handler, conn = std::make_shared<connection>(it)] { handler(conn); });
            }
        });
}

} // namespace stage
