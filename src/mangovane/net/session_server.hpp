// Accepts connections and owns their sessions.
#ifndef MANGOVANE_NET_SESSION_SERVER_HPP
#define MANGOVANE_NET_SESSION_SERVER_HPP

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "mangovane/net/session_end.hpp"
#include "mangovane/net/spawn.hpp"
#include "mangovane/net/tcp_acceptor.hpp"

namespace mangovane
{

/// `Session` is constructible from a socket and the services, and has `open`, `run`,
/// `request_drain`, `request_cut` and `request_eviction`.
template <class Session, class Services>
class session_server
{
public:
    /// The services outlive the server.
    session_server(boost::asio::io_context& io, Services& services)
        : io_{io}, services_{services}, acceptor_{boost::asio::make_strand(io)}
    {}

    /// Listens on `ip:port`; port 0 selects a free port.
    [[nodiscard]] absl::Status listen(const std::string& address)
    {
        if (auto status = open_acceptor(acceptor_, address); !status.ok())
        {
            return status;
        }
        port_ = acceptor_.local_endpoint().port();
        const auto on_socket = [this](boost::asio::ip::tcp::socket it) { serve(std::move(it)); };
        spawn(acceptor_.get_executor(), "accept_callers",
              accept_connections(acceptor_, io_, on_socket));
        return absl::OkStatus();
    }

    /// Port that `listen` has bound; 0 before.
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /// Accepts no more connections and ends each session after its current response. Connections
    /// that the kernel has accepted already are served: they may carry complete requests.
    void drain()
    {
        boost::asio::post(acceptor_.get_executor(), [this] { drain_acceptor(); });
    }

    /// Ends the requests of all sessions now; the sessions end when their answers are written.
    void cut()
    {
        const std::lock_guard lock{mutex_};
        cut_ = true;
        for (const auto& it : sessions_)
        {
            it->request_cut();
        }
    }

    /// Whether `drain` has taken effect and all sessions have ended.
    [[nodiscard]] bool drained() const
    {
        const std::lock_guard lock{mutex_};
        return draining_ && sessions_.empty();
    }

    /// Number of open sessions.
    [[nodiscard]] std::size_t open_sessions() const
    {
        const std::lock_guard lock{mutex_};
        return sessions_.size();
    }

private:
    void serve(boost::asio::ip::tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        auto session = std::make_shared<Session>(std::move(socket), services_);
        const auto on_evicted = [weak = std::weak_ptr{session}]
        {
            if (const auto it = weak.lock())
            {
                it->request_eviction();
            }
        };
        if (!session->open(on_evicted))
        {
            services_.observer.on_session_end(descriptor_of(session_end::not_admitted).name);
            return;
        }
        {
            const std::lock_guard lock{mutex_};
            sessions_.insert(session);
            if (draining_)
            {
                session->request_drain();
            }
            if (cut_)
            {
                session->request_cut();
            }
        }
        const auto remove = [this, session](bool)
        {
            const std::lock_guard lock{mutex_};
            sessions_.erase(session);
        };
        try
        {
            spawn(executor, "caller_session", session->run(), remove);
        }
        catch (...)
        {
            remove(true);
            throw;
        }
    }

    void drain_acceptor()
    {
        boost::system::error_code ec;
        acceptor_.non_blocking(true, ec);
        while (!ec)
        {
            auto socket = acceptor_.accept(boost::asio::make_strand(io_), ec);
            if (!ec)
            {
                serve_accepted(acceptor_.get_executor(), std::move(socket),
                               [this](boost::asio::ip::tcp::socket it) { serve(std::move(it)); });
            }
        }
        acceptor_.close(ec);
        const std::lock_guard lock{mutex_};
        draining_ = true;
        for (const auto& it : sessions_)
        {
            it->request_drain();
        }
    }

    boost::asio::io_context& io_;
    Services& services_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_{0};
    mutable std::mutex mutex_;
    absl::flat_hash_set<std::shared_ptr<Session>> sessions_; ///< Guarded by `mutex_`.
    bool draining_{false};                                   ///< Guarded by `mutex_`.
    bool cut_{false};                                        ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
