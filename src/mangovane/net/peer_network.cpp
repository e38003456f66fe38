// Accepts connections of peers and keeps one outgoing link per peer.
#include "mangovane/net/peer_network.hpp"

#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "mangovane/net/peer_link.hpp"
#include "mangovane/net/peer_session.hpp"
#include "mangovane/net/spawn.hpp"
#include "mangovane/net/tcp_acceptor.hpp"
#include "mangovane/wire/codec.hpp"

namespace mangovane
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace
{

/// Lists of 3,000 endpoints take about 0.6 MB each; a few versions of them wait at a time.
constexpr std::size_t max_list_bytes = 8 * 1024 * 1024;

} // namespace

peer_network::peer_network(asio::io_context& io,
                           peer_network_options options,
                           peer_message_handler handler)
    : io_{io}, context_{std::make_shared<internal::peer_context>()},
      acceptor_{asio::make_strand(io)}, lists_{max_list_bytes}
{
    context_->options = std::move(options);
    context_->handler = std::move(handler);
    context_->on_peer_address = [this](instance_id peer, const std::string& address)
    { set_address(peer, address); };
}

peer_network::~peer_network() = default;

absl::Status peer_network::listen(const std::string& address)
{
    if (auto status = open_acceptor(acceptor_, address); !status.ok())
    {
        return status;
    }
    const auto local = acceptor_.local_endpoint();
    port_ = local.port();
    if (context_->options.address.empty())
    {
        context_->options.address = absl::StrCat(local.address().to_string(), ":", port_);
    }
    const auto on_socket = [this](asio::ip::tcp::socket it) { serve(std::move(it)); };
    spawn(acceptor_.get_executor(), "accept_peers", accept_connections(acceptor_, io_, on_socket));
    return absl::OkStatus();
}

void peer_network::serve(asio::ip::tcp::socket socket)
{
    const auto executor = socket.get_executor();
    auto session = std::make_shared<internal::peer_session>(std::move(socket), context_);
    if (!session->open())
    {
        return;
    }
    {
        const std::lock_guard lock{mutex_};
        sessions_.insert(session);
    }
    spawn(executor, "peer_session", internal::peer_session::run(session),
          [this, session](bool)
          {
              const std::lock_guard lock{mutex_};
              sessions_.erase(session);
          });
}

std::shared_ptr<internal::peer_link> peer_network::link_to(instance_id peer)
{
    return links_.with_entry(peer,
                             [&](std::shared_ptr<internal::peer_link>& it)
                             {
                                 if (!it)
                                 {
                                     it =
                                         std::make_shared<internal::peer_link>(io_, context_, peer);
                                 }
                                 return it;
                             });
}

void peer_network::send(const outgoing_message& msg)
{
    if (msg.to != context_->options.id)
    {
        const auto link = link_to(msg.to);
        if (msg.reconnect)
        {
            link->request_reconnect();
        }
        link->push(msg.body);
    }
}

internal::shared_frame peer_network::encode_shared(const message& msg)
{
    const auto& own = context_->options;
    auto bytes = encode_frame(frame{own.id, own.epoch, std::nullopt, {msg}}, clock::now());
    if (!bytes.ok())
    {
        return nullptr;
    }
    return std::holds_alternative<endpoint_update>(msg)
               ? lists_.add(std::move(*bytes))
               : std::make_shared<const std::string>(std::move(*bytes));
}

void peer_network::send_to_group(const group_message& msg)
{
    const auto* list = std::get_if<endpoint_update>(&msg.body);
    if (list == nullptr && msg.to.size() < 2)
    {
        message_sink::send_to_group(msg); // Shares a frame with the receiver's other messages.
        return;
    }
    const auto encoded = encode_shared(msg.body);
    if (!encoded)
    {
        context_->counters.messages_dropped += msg.to.size();
        return;
    }
    const bool starts_full_list = list != nullptr && list->since == 0 && list->part == 0;
    for (const auto to : msg.to)
    {
        if (to == context_->options.id)
        {
            continue;
        }
        const auto link = link_to(to);
        if (list == nullptr)
        {
            link->push(encoded);
        }
        else
        {
            link->push_list(encoded, starts_full_list);
        }
    }
}

void peer_network::set_peers(const membership_view& view)
{
    for (const auto& it : view.members())
    {
        set_address(it.id, it.address);
    }
}

void peer_network::set_address(instance_id peer, const std::string& address)
{
    if (peer != context_->options.id && !address.empty())
    {
        link_to(peer)->set_address(address);
    }
}

void peer_network::block(absl::flat_hash_set<instance_id> peers)
{
    const std::lock_guard lock{context_->mutex};
    context_->blocked = std::move(peers);
}

peer_traffic peer_network::traffic() const
{
    const auto& it = context_->counters;
    return {it.bytes_sent,      it.bytes_received,   it.frames_sent,
            it.frames_received, it.messages_dropped, it.connections_refused};
}

void peer_network::close()
{
    asio::post(acceptor_.get_executor(),
               [this]
               {
                   error_code ec;
                   acceptor_.close(ec);
               });
    std::vector<std::shared_ptr<internal::peer_link>> links;
    links_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [id, it] : entries)
            {
                links.push_back(it);
            }
        });
    for (const auto& it : links)
    {
        it->close();
    }
    const std::lock_guard lock{mutex_};
    for (const auto& it : sessions_)
    {
        it->close();
    }
}

} // namespace mangovane
