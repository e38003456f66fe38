// Implementation of the endpoint process.
#include "platform/endpoint_process.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <map>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace mangovane::test
{

namespace
{

constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr std::size_t buffer_bytes = 4096;

/// Value of a header field; empty if it is absent.
std::string field_of(const std::string& request, const std::string& name)
{
    const auto key = "\r\n" + name + ": ";
    const auto at = request.find(key);
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + key.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// Whether a whole request has been read.
bool is_whole(const std::string& request)
{
    const auto end = request.find(end_of_head);
    std::size_t length = 0;
    (void)absl::SimpleAtoi(field_of(request, "Content-Length"), &length);
    return end != std::string::npos && request.size() >= end + end_of_head.size() + length;
}

/// With port 0 the kernel chooses one.
int listen_on_loopback(std::string& address, std::uint16_t port)
{
    const int result = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(port);
    socklen_t size = sizeof(name);
    auto* generic = reinterpret_cast<sockaddr*>(&name);
    // Connections of the process that listened there before may not have ended yet.
    const int reuse = 1;
    (void)::setsockopt(result, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    if (result < 0 || ::bind(result, generic, size) != 0 || ::listen(result, SOMAXCONN) != 0 ||
        ::getsockname(result, generic, &size) != 0)
    {
        throw std::runtime_error{"cannot listen"};
    }
    address = absl::StrCat("127.0.0.1:", ntohs(name.sin_port));
    return result;
}

std::uint16_t port_of(const std::string& address)
{
    int result = 0;
    (void)absl::SimpleAtoi(address.substr(address.find(':') + 1), &result);
    return static_cast<std::uint16_t>(result);
}

/// The child: one loop over all its files.
class stream_server
{
public:
    stream_server(int listener, int commands, int results, bool chunked)
        : listener_{listener}, commands_{commands}, results_{results}, chunked_{chunked}
    {}

    /// Runs until the test has closed its end of the commands.
    void run()
    {
        while (!ended_)
        {
            step();
        }
    }

private:
    struct connection
    {
        std::string request;
        std::string id; ///< Empty until the request has been read.
        int events{0};
    };

    void step()
    {
        std::vector<pollfd> files{{commands_, POLLIN, 0}, {listener_, POLLIN, 0}};
        for (const auto& [socket, it] : connections_)
        {
            files.push_back({socket, POLLIN, 0});
        }
        (void)::poll(files.data(), files.size(), -1);
        for (std::size_t n = 2; n != files.size(); ++n)
        {
            if (files[n].revents != 0)
            {
                read(files[n].fd);
            }
        }
        if (files[1].revents != 0)
        {
            connections_.try_emplace(::accept(listener_, nullptr, nullptr));
        }
        if (files[0].revents != 0)
        {
            read_command();
        }
    }

    void read(int socket)
    {
        std::array<char, buffer_bytes> buf{};
        auto& it = connections_[socket];
        const auto n = ::recv(socket, buf.data(), buf.size(), 0);
        if (n <= 0)
        {
            close(socket);
            return;
        }
        it.request.append(buf.data(), static_cast<std::size_t>(n));
        if (it.id.empty() && is_whole(it.request))
        {
            it.id = field_of(it.request, "X-Attempt-Id");
            send(socket, absl::StrCat("HTTP/1.1 200 Any\r\nX-Attempt-Id: ", it.id,
                                      "\r\nX-Server-Signature: s\r\n",
                                      leaving_ ? "Server-Leaving: 1\r\n" : "",
                                      chunked_ ? "Transfer-Encoding: chunked\r\n" : "", "\r\n"));
        }
    }

    void read_command()
    {
        std::string line;
        for (char c = 0; c != '\n';)
        {
            if (::read(commands_, &c, 1) != 1)
            {
                ended_ = true;
                return;
            }
            line += c;
        }
        line.pop_back();
        const auto space = line.find(' ');
        const auto id = space == std::string::npos ? std::string{} : line.substr(space + 1);
        const char result = execute(line.substr(0, space), id) ? '1' : '0';
        (void)!::write(results_, &result, 1);
    }

    bool execute(const std::string& verb, const std::string& id)
    {
        if (verb == "listener")
        {
            ::close(std::exchange(listener_, -1));
            return true;
        }
        if (verb == "address")
        {
            return take_over(id);
        }
        if (verb == "finish")
        {
            finish();
        }
        if (verb == "leaving")
        {
            leaving_ = true;
            return true;
        }
        if (verb == "exit" && id.empty())
        {
            ::_exit(0);
        }
        for (auto& [socket, it] : connections_)
        {
            if (!it.id.empty() && it.id == id)
            {
                act(verb, socket, it);
                return true;
            }
        }
        return false;
    }

    /// Listens at the address in place of the own one.
    bool take_over(const std::string& address)
    {
        ::close(std::exchange(listener_, -1));
        std::string own;
        listener_ = listen_on_loopback(own, port_of(address));
        return listener_ >= 0;
    }

    /// Ends all streams after a last event each, and then the process.
    [[noreturn]] void finish()
    {
        std::vector<std::pair<int, connection>> all{connections_.begin(), connections_.end()};
        for (auto& [socket, it] : all)
        {
            if (!it.id.empty())
            {
                act("event", socket, it);
                act("end", socket, it);
            }
        }
        ::_exit(0);
    }

    void act(const std::string& verb, int socket, connection& it)
    {
        if (verb == "fill")
        {
            fill(socket);
        }
        if (verb == "event" || verb == "exit")
        {
            const auto text = absl::StrCat("id: ", it.events, "\ndata: x\n\n");
            ++it.events;
            send(socket,
                 chunked_ ? absl::StrCat(absl::Hex(text.size()), "\r\n", text, "\r\n") : text);
        }
        if (verb == "exit")
        {
            ::_exit(0);
        }
        if (verb == "end")
        {
            send(socket, chunked_ ? "0\r\n\r\n" : "");
            close(socket);
        }
    }

    /// Writes until the kernel accepts no more.
    static void fill(int socket)
    {
        const std::string text(buffer_bytes, 'x');
        pollfd file{socket, POLLOUT, 0};
        constexpr int patience_ms = 200;
        while (::poll(&file, 1, patience_ms) == 1 &&
               ::send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL) > 0)
        {}
    }

    static void send(int socket, const std::string& text)
    {
        (void)::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void close(int socket)
    {
        ::close(socket);
        connections_.erase(socket);
    }

    int listener_; ///< -1: closed.
    const int commands_;
    const int results_;
    const bool chunked_;
    bool leaving_{false};
    bool ended_{false};
    std::map<int, connection> connections_; ///< By socket.
};

std::array<int, 2> make_pipe()
{
    std::array<int, 2> result{};
    if (::pipe2(result.data(), O_CLOEXEC) != 0)
    {
        throw std::runtime_error{"cannot create a pipe"};
    }
    return result;
}

} // namespace

endpoint_process::endpoint_process(bool chunked)
{
    const int listener = listen_on_loopback(address_, 0);
    const auto commands = make_pipe();
    const auto results = make_pipe();
    pid_ = ::fork();
    if (pid_ == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::close(commands[1]);
        ::close(results[0]);
        stream_server{listener, commands[0], results[1], chunked}.run();
        ::_exit(0);
    }
    ::close(listener);
    ::close(commands[0]);
    ::close(results[1]);
    commands_ = commands[1];
    results_ = results[0];
}

endpoint_process::~endpoint_process()
{
    kill();
    ::close(commands_);
    ::close(results_);
}

void endpoint_process::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(std::exchange(pid_, -1), nullptr, 0);
    }
}

bool endpoint_process::command(const std::string& line)
{
    const auto text = line + "\n";
    char result = '0';
    return ::write(commands_, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
           ::read(results_, &result, 1) == 1 && result == '1';
}

} // namespace mangovane::test
