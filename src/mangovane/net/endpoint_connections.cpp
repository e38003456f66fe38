// Implementation of the register of connections to endpoints.
#include "mangovane/net/endpoint_connections.hpp"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace mangovane
{

connection_sample endpoint_connections::sample_of(const entry& it)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    int unread = 0;
    if (::getsockopt(it.socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        ::ioctl(it.socket, FIONREAD, &unread) != 0)
    {
        return {.id = it.id};
    }
    return {.id = it.id,
            .established = info.tcpi_state == TCP_ESTABLISHED,
            .unread = static_cast<std::uint32_t>(unread),
            .silent_for = milliseconds{info.tcpi_last_data_recv},
            .unheard_for = milliseconds{info.tcpi_last_ack_recv},
            .reset = info.tcpi_state == TCP_CLOSE,
            .idle = it.idle,
            .seen_beside = it.seen_beside};
}

std::vector<connection_sample> endpoint_connections::sample(const std::string& address)
{
    std::vector<connection_sample> result;
    entries_.find(address,
                  [&](const std::vector<entry>& entries)
                  {
                      for (const auto& it : entries)
                      {
                          result.push_back(sample_of(it));
                      }
                  });
    return result;
}

bool endpoint_connections::is_established(const std::string& address, std::uint64_t id)
{
    bool result = false;
    entries_.find(address,
                  [&](const std::vector<entry>& entries)
                  {
                      const auto at = std::ranges::find(entries, id, &entry::id);
                      result = at != entries.end() && sample_of(*at).established;
                  });
    return result;
}

std::uint64_t endpoint_connections::add(const std::string& address, int socket, bool idle)
{
    return entries_.with_entry(address,
                               [&](std::vector<entry>& entries)
                               {
                                   const auto id = ++last_id_;
                                   if (idle)
                                   {
                                       note_liveness(entries, id);
                                   }
                                   entries.push_back({id, socket, idle, 0});
                                   return id;
                               });
}

void endpoint_connections::note_liveness(std::vector<entry>& entries, std::uint64_t id)
{
    const auto now = clock::now();
    for (auto& it : entries)
    {
        const auto state = sample_of(it);
        const bool same_process = state.established && now < it.same_process_until;
        if (same_process || is_open(state))
        {
            it.seen_beside = id;
        }
    }
}

void endpoint_connections::expect_liveness(const std::string& address,
                                           std::uint64_t id,
                                           time_point until)
{
    entries_.find(address,
                  [&](std::vector<entry>& entries)
                  {
                      const auto at = std::ranges::find(entries, id, &entry::id);
                      at->same_process_until = until;
                  });
}

void endpoint_connections::remove(const std::string& address, std::uint64_t id)
{
    entries_.with_shard(address,
                        [&](auto& shard)
                        {
                            const auto at = shard.find(address);
                            std::erase_if(at->second, [&](const entry& it) { return it.id == id; });
                            if (at->second.empty())
                            {
                                shard.erase(at);
                            }
                        });
}

connection_registration::connection_registration(std::shared_ptr<endpoint_connections> connections,
                                                 std::string address,
                                                 int socket,
                                                 bool idle)
    : connections_{std::move(connections)}, address_{std::move(address)},
      id_{connections_->add(address_, socket, idle)}
{}

connection_registration::~connection_registration()
{
    connections_->remove(address_, id_);
}

} // namespace mangovane
