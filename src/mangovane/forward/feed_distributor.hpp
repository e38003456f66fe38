// Distributes settings and endpoints from the instances that read the store to those that do not.
#ifndef MANGOVANE_FORWARD_FEED_DISTRIBUTOR_HPP
#define MANGOVANE_FORWARD_FEED_DISTRIBUTOR_HPP

#include <mutex>
#include <optional>

#include "mangovane/forward/list_pacer.hpp"
#include "mangovane/forward/reader_election.hpp"
#include "mangovane/membership/endpoint_catalog.hpp"
#include "mangovane/message/group_message.hpp"
#include "mangovane/routing/instance_state.hpp"

namespace mangovane
{

class feed_distributor
{
public:
    /// The state and the catalog must outlive the distributor.
    feed_distributor(instance_state& state, endpoint_catalog& catalog, time_point start)
        : state_{state}, catalog_{catalog}, election_{state.self().id, state.self().domain, start}
    {}

    /// Handles a message of another instance; returns the messages to send.
    [[nodiscard]] outgoing_messages on(instance_id from, const feed_state& msg, time_point now);
    [[nodiscard]] group_messages on(instance_id from, const endpoint_query& msg, time_point now);
    [[nodiscard]] outgoing_messages
    on(instance_id from, const endpoint_update& msg, time_point now);

    /// Messages of a reader to its recipients: immediately after a change, otherwise once per
    /// `reader_election::feed_state_period`; and the lists that other instances wait for.
    [[nodiscard]] group_messages tick(time_point now);

    /// Whether this instance must read the store now.
    [[nodiscard]] bool should_read(time_point now) const
    {
        return election_.should_read(*state_.view(), now);
    }

private:
    /// Minimum time between two endpoint queries.
    static constexpr milliseconds endpoint_query_interval{150};

    /// Minimum time between two settings queries. With a shorter one a reader on a slow link would
    /// send the settings several times to each instance.
    static constexpr milliseconds settings_query_interval{800};

    /// When a query has made no progress for this long, the connection to the queried instance is
    /// replaced.
    static constexpr milliseconds progress_timeout{600};

    /// The last query, and the first one of the series that has brought no progress.
    struct pending_query
    {
        instance_id to;
        store_revision known_version; ///< Revision or version held when the series began.
        time_point first_at{};
        time_point last_at{};
    };

    /// Whether to send a query now; the value tells whether to send it over a new connection.
    [[nodiscard]] static std::optional<bool> next_query(pending_query& it,
                                                        instance_id to,
                                                        store_revision known_version,
                                                        milliseconds interval,
                                                        time_point now);

    [[nodiscard]] feed_state own_state(time_point now) const;

    /// Appends the updates of the pacer's next round. `mutex_` is held.
    void send_due_lists(group_messages& out, time_point now);

    /// Appends the changes and the state of a reader. `mutex_` is held.
    void send_state(const feed_state& own, bool reader, group_messages& out, time_point now);

    instance_state& state_;
    endpoint_catalog& catalog_;
    reader_election election_;
    std::mutex mutex_;
    /// Whether this instance was a reader at the last tick. Guarded by `mutex_`.
    bool was_reader_{false};
    store_revision sent_revision_;  ///< Endpoint revision sent last. Guarded by `mutex_`.
    store_revision sent_version_;   ///< Settings version sent last. Guarded by `mutex_`.
    bool sent_fresh_{false};        ///< Whether the last state sent was fresh. Guarded by `mutex_`.
    time_point sent_at_{};          ///< Guarded by `mutex_`.
    list_pacer lists_;              ///< Guarded by `mutex_`.
    pending_query endpoints_query_; ///< Guarded by `mutex_`.
    pending_query settings_query_;  ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
