// Which instances read the store. One in each failure domain does, and tells the others: reads have
// a price, and each waiting read is answered at each change.
#ifndef MANGOVANE_FORWARD_READER_ELECTION_HPP
#define MANGOVANE_FORWARD_READER_ELECTION_HPP

#include <mutex>
#include <optional>
#include <vector>

#include "mangovane/membership/view.hpp"
#include "mangovane/message/endpoints.hpp"

namespace mangovane
{

/// The first instance of a domain in rendezvous order reads. The next ones take over, one after the
/// other, when they hear nothing from those before them, or only that the store does not answer.
class reader_election
{
public:
    reader_election(instance_id self, domain_id domain, time_point start)
        : self_{self}, domain_{domain}, heard_at_{start}, fresh_at_{start}
    {}

    /// A reader tells how far it has read.
    void on_state(instance_id from,
                  const feed_state& state,
                  const membership_view& view,
                  time_point now);

    /// Whether this instance has to read now.
    [[nodiscard]] bool should_read(const membership_view& view, time_point now) const;

    /// Whom a reader tells: the members of its domain, and the first reader of each other domain.
    [[nodiscard]] std::vector<instance_id> recipients(const membership_view& view) const;

    /// A reader whose store has been silent for longer is not relied on.
    static constexpr milliseconds max_fresh_age{1500};

    /// Readers tell their state in this period.
    static constexpr milliseconds feed_state_period{200};

private:
    static constexpr milliseconds silence{700};

    /// A reader that says that its store does not answer is replaced sooner than a silent one.
    static constexpr milliseconds stale_patience{150};
    static constexpr milliseconds rank_step{250};
    static constexpr std::size_t longest_rank = 8;

    /// While readers are heard but the store does not answer them, only these try as well.
    static constexpr std::size_t ranks_in_outage = 2;

    [[nodiscard]] static std::optional<std::size_t>
    rank_in(const membership_view& view, domain_id domain, instance_id id);

    const instance_id self_;
    const domain_id domain_;
    mutable std::mutex mutex_;
    time_point heard_at_; ///< From a reader that goes before this instance. Guarded by `mutex_`.
    time_point fresh_at_; ///< The same, and its store answers. Guarded by `mutex_`.
};

} // namespace mangovane

#endif
