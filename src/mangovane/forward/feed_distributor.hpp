// Spreads settings and endpoints from the instances that read the store to those that do not.
#ifndef MANGOVANE_FORWARD_FEED_DISTRIBUTOR_HPP
#define MANGOVANE_FORWARD_FEED_DISTRIBUTOR_HPP

#include <mutex>
#include <optional>

#include "mangovane/forward/reader_election.hpp"
#include "mangovane/membership/endpoint_catalog.hpp"
#include "mangovane/routing/instance_state.hpp"

namespace mangovane
{

class feed_distributor
{
public:
    /// The state and the catalog outlive it.
    feed_distributor(instance_state& state, endpoint_catalog& catalog, time_point start)
        : state_{state}, catalog_{catalog}, duty_{state.self().id, state.self().domain, start}
    {}

    [[nodiscard]] outgoing_messages on(instance_id from, const feed_state& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const endpoint_query& msg, time_point now);
    [[nodiscard]] outgoing_messages
    on(instance_id from, const endpoint_update& msg, time_point now);

    /// What a reader tells its audience: at once after a change, else each period.
    [[nodiscard]] outgoing_messages tick(time_point now);

    /// Whether this instance has to read the store now.
    [[nodiscard]] bool should_read(time_point now) const
    {
        return duty_.should_read(*state_.view(), now);
    }

private:
    static constexpr milliseconds endpoint_pause{150}; ///< Between two questions for endpoints.

    /// Between two questions for settings: asked again sooner, a reader with a thin link would send
    /// them several times to each.
    static constexpr milliseconds settings_pause{800};

    /// Without progress after a question for as long, the link to the one asked is renewed.
    static constexpr milliseconds answer_time{600};

    /// A question that others answer: the last one, and the first after which nothing came.
    struct question
    {
        instance_id to;
        std::uint64_t have{0}; ///< What was known when it was asked first.
        time_point first_at{};
        time_point last_at{};
    };

    /// Whether to ask now, and if so, whether over a new link.
    [[nodiscard]] static std::optional<bool>
    ask(question& it, instance_id to, std::uint64_t have, milliseconds pause, time_point now);

    [[nodiscard]] feed_state own_state(time_point now) const;

    instance_state& state_;
    endpoint_catalog& catalog_;
    reader_election duty_;
    std::mutex mutex_;
    bool told_{false};               ///< This instance was a reader at the last tick. By `mutex_`.
    std::uint64_t told_revision_{0}; ///< Of endpoints, pushed last. Guarded by `mutex_`.
    std::uint64_t told_version_{0};  ///< Of settings, told last. Guarded by `mutex_`.
    bool told_fresh_{false};         ///< The store answered, told last. Guarded by `mutex_`.
    time_point told_at_{};           ///< Guarded by `mutex_`.
    question endpoints_question_;    ///< Guarded by `mutex_`.
    question settings_question_;     ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif
