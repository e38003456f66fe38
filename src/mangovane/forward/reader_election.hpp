// Selects the instances that read the store. One in each failure domain reads and distributes to
// the others: the store bills each read, and a change completes every outstanding long-poll read.
#ifndef MANGOVANE_FORWARD_READER_ELECTION_HPP
#define MANGOVANE_FORWARD_READER_ELECTION_HPP

#include <mutex>
#include <optional>
#include <vector>

#include "mangovane/membership/view.hpp"
#include "mangovane/message/endpoints.hpp"

namespace mangovane
{

/// The first instance of a domain in rendezvous order reads. The following ones take over one after
/// another when they receive no state from those before them, or only states saying that the store
/// does not answer.
class reader_election
{
public:
    reader_election(instance_id self, domain_id domain, time_point start)
        : self_{self}, domain_{domain}, last_state_at_{start}, last_fresh_at_{start}
    {}

    /// Records the state of a reader. States from other domains, and from instances later in the
    /// order, are ignored.
    void on_state(instance_id from,
                  const feed_state& state,
                  const membership_view& view,
                  time_point now);

    /// Whether this instance must read now.
    [[nodiscard]] bool should_read(const membership_view& view, time_point now) const;

    /// Recipients of the state of a reader: the members of its domain, and the first reader of each
    /// other domain.
    [[nodiscard]] std::vector<instance_id> recipients(const membership_view& view) const;

    /// A state is fresh when the store last answered the reader within this time.
    static constexpr milliseconds max_fresh_age{1500};

    /// Period in which readers send their state.
    static constexpr milliseconds feed_state_period{200};

private:
    /// A reader that sends no state for this long is replaced.
    static constexpr milliseconds silence_timeout{700};

    /// A reader whose states are not fresh is replaced after this time, sooner than a silent one.
    static constexpr milliseconds stale_timeout{150};

    /// Additional delay per rank, so that instances take over one after another.
    static constexpr milliseconds rank_delay{250};
    static constexpr std::size_t max_delay_rank = 8; ///< The delay does not grow beyond this rank.

    /// While readers send states but the store does not answer them, only instances up to this rank
    /// also read.
    static constexpr std::size_t outage_reader_ranks = 2;

    /// Position of the instance in the rendezvous order of the domain; nothing when not eligible.
    [[nodiscard]] static std::optional<std::size_t>
    rank_in(const membership_view& view, domain_id domain, instance_id id);

    const instance_id self_;
    const domain_id domain_;
    mutable std::mutex mutex_;
    /// Last state from a reader ahead of this instance. Guarded by `mutex_`.
    time_point last_state_at_;
    time_point last_fresh_at_; ///< Last fresh state from such a reader. Guarded by `mutex_`.
};

} // namespace mangovane

#endif
