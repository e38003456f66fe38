// Implementation of the connection whose end is judged.
#include "mangovane/net/watched_connection.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mangovane/net/peek.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

/// A connection with an event every 32 ms is silent for 20 ms in one of three samples.
constexpr int max_samples = 10;

/// Bounds of the time within which the last bytes and the end count as sent together. Samples have
/// a resolution of 4 ms; a process of a busy host may be suspended between two calls.
constexpr milliseconds min_gap{5};
constexpr milliseconds longest_gap{40};

/// For a response whose pauses are not known.
constexpr milliseconds default_gap{20};

/// The end of a process falls by chance into this fraction of a pause after a write.
constexpr int pause_fraction = 8;

/// An end that was read within this time of its arrival: connections that are open then were open
/// at the end.
constexpr milliseconds prompt_read_time{50};

/// Connections that lead to the process that has ended the own one. Those without requests count
/// only if the endpoint leaves; see `process_lives`.
std::vector<connection_sample>
candidates_of(const connection_sample& own, std::vector<connection_sample> before, bool leaving)
{
    const bool prompt = own.unheard_for <= prompt_read_time;
    std::erase_if(before,
                  [&](const connection_sample& it)
                  {
                      const bool together = were_open_together(own, it);
                      const bool counts = it.idle ? leaving && together : prompt || together;
                      return !counts;
                  });
    return before;
}

} // namespace

watched_connection::watched_connection(std::shared_ptr<endpoint_connections> connections,
                                       std::shared_ptr<liveness_connections> liveness)
    : connections_{std::move(connections)}, liveness_{std::move(liveness)}
{}

void watched_connection::start(std::string address, int socket)
{
    address_ = std::move(address);
    registration_.emplace(connections_, address_, socket);
    id_ = registration_->id();
}

void watched_connection::on_part(std::size_t bytes,
                                 std::size_t buffer_bytes,
                                 asio::ip::tcp::socket& socket)
{
    note_part(bytes, buffer_bytes, clock::now());
    if (!kept_ && (!drained_ || !is_readable(socket)))
    {
        keep_liveness(socket.get_executor());
    }
}

void watched_connection::note_part(std::size_t bytes, std::size_t buffer_bytes, time_point now)
{
    first_part_at_ = parts_ == 0 ? now : first_part_at_;
    last_part_at_ = now;
    ++parts_;
    if (drained_)
    {
        burst_bytes_ = 0;
        burst_began_at_ = now;
    }
    burst_bytes_ += bytes;
    drained_ = bytes < buffer_bytes;
}

void watched_connection::keep_liveness(const asio::any_io_executor& executor)
{
    if (sample().own.silent_for <= prompt_read_time)
    {
        registration_->expect_liveness(clock::now() + end_arrival_time);
    }
    kept_ = liveness_->acquire(executor, address_);
}

void watched_connection::keep_state()
{
    last_state_ = sample().own;
    last_state_at_ = clock::now();
}

void watched_connection::stop()
{
    registration_.reset();
}

watched_connection::samples watched_connection::sample() const
{
    samples result;
    result.others = connections_->sample(address_);
    const auto at = std::ranges::find(result.others, id_, &connection_sample::id);
    if (at != result.others.end())
    {
        result.own = *at;
        result.others.erase(at);
        return result;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(clock::now() - last_state_at_);
    result.own = last_state_;
    result.own.silent_for += age;
    result.own.unheard_for += age;
    return result;
}

milliseconds watched_connection::max_gap() const
{
    if (parts_ < 2)
    {
        return default_gap;
    }
    const auto pause = (last_part_at_ - first_part_at_) / (parts_ - 1);
    const auto gap = std::chrono::duration_cast<milliseconds>(pause / pause_fraction);
    return std::clamp(gap, min_gap, longest_gap);
}

bool watched_connection::held_back() const
{
    return burst_bytes_ > max_unblocked_bytes && last_part_at_ - burst_began_at_ > end_arrival_time;
}

asio::awaitable<end_verdict> watched_connection::check(const crash_check_timing& timing,
                                                       std::optional<time_point> serves_until,
                                                       time_point give_up_at)
{
    const auto before = sample();
    ended_at_ = clock::now() - before.own.unheard_for;
    end_observation seen;
    seen.leaving = serves_until.has_value();
    seen.may_have_left = seen.leaving && ended_at_ >= *serves_until;
    seen.connect = co_await try_connect(address_, timing.delay, timing.timeout);
    auto after = sample();
    seen.end = {after.own, max_gap(), held_back()};
    seen.others = std::move(after.others);
    if (seen.connect == connect_outcome::refused)
    {
        auto candidates = candidates_of(before.own, before.others, seen.leaving);
        co_await await_proof(seen, timing, std::move(candidates), give_up_at);
    }
    co_return judge_end(seen);
}

asio::awaitable<void> watched_connection::await_proof(end_observation& seen,
                                                      const crash_check_timing& timing,
                                                      std::vector<connection_sample> candidates,
                                                      time_point give_up_at) const
{
    std::vector<connection_sample> idle;
    std::ranges::copy_if(candidates, std::back_inserter(idle), &connection_sample::idle);
    std::erase_if(candidates, [](const connection_sample& it) { return it.idle; });
    auto wait = timing.proof_delay;
    auto others = sample().others;
    for (int n = 0; n != max_samples; ++n)
    {
        const bool any = any_remains(candidates, others) || any_remains(idle, others);
        const bool shown = seen.shown_by_request || seen.shown_by_liveness;
        if (!any || shown || clock::now() + wait > give_up_at)
        {
            break;
        }
        co_await sleep_for(wait);
        others = sample().others;
        seen.shown_by_request = any_shows_process(candidates, others);
        seen.shown_by_liveness = any_shows_process(idle, others);
        wait = timing.sample_interval;
    }
}

} // namespace mangovane
