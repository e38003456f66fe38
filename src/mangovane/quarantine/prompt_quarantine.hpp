// Finds prompt parts that crash every endpoint that processes them ("queries of death"), and says
// which requests are refused because of them.
//
// Each request that an endpoint has not survived when it crashes is suspect, and with it each part
// that it shares with others; and the prompt as a whole, in case the same request comes again. In
// the record, a whole prompt is one more part, behind all others. Instances exchange this evidence.
// A part is cleared when an endpoint survives any request with it (in short: an answer): a part
// that crashes endpoints may get some events of an answer, but no such answer. Of the parts that
// remain after a few crashes, one that explains the crashes of another clears that one too.
#ifndef MANGOVANE_QUARANTINE_PROMPT_QUARANTINE_HPP
#define MANGOVANE_QUARANTINE_PROMPT_QUARANTINE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

#include "mangovane/core/prompt_part.hpp"
#include "mangovane/core/sharded_map.hpp"
#include "mangovane/quarantine/answer_log.hpp"
#include "mangovane/quarantine/part_record.hpp"

namespace mangovane
{

/// What became known of a part, for the log.
enum class quarantine_change : std::uint8_t
{
    suspected, ///< This instance held a request with the part when an endpoint crashed.
    refused,   ///< Requests with the part are refused from now on.
    cleared,   ///< Requests with the part are no longer refused.
    expired,   ///< As `cleared`, because no request with the part came for a long time.
};

inline constexpr std::size_t quarantine_change_count = 4;

/// A change, for the log.
struct quarantine_event
{
    quarantine_change change{quarantine_change::suspected};
    std::uint64_t part{0};
    std::uint64_t crash{0}; ///< Only of `suspected`.
    part_verdict verdict;   ///< Not of `suspected`.

    auto operator<=>(const quarantine_event&) const = default;
};

/// A part that is refused now, for operators.
struct quarantined_part
{
    part_verdict verdict;
    time_point keep_until{}; ///< When the refusal ends if no request with the part comes.

    auto operator<=>(const quarantined_part&) const = default;
};

/// Thread-safe. State is sharded by part.
class prompt_quarantine
{
public:
    /// `seed` differs between instances and spreads their announcements of the same answer.
    explicit prompt_quarantine(std::uint64_t seed) : seed_{seed} {}

    /// An endpoint has survived a request with this prompt.
    void on_survived(const prompt_identity& prompt, time_point now);

    /// An endpoint crashed before it had survived a request with this prompt.
    /// Returns whether the request may be sent again: no part of it is suspected of another crash.
    [[nodiscard]] bool on_crash(std::uint64_t crash, const prompt_identity& prompt, time_point now);

    /// Merges what another instance knows; returns answers that the sender lacks.
    [[nodiscard]] quarantine_update on_update(const quarantine_update& update, time_point now);

    /// Why a request with this prompt is refused; empty if it is not. Requests that are refused
    /// extend the quarantine: it ends only when no more of them come.
    [[nodiscard]] std::optional<part_verdict> check(const prompt_identity& prompt, time_point now);

    /// The same without an effect on the quarantine.
    [[nodiscard]] std::optional<part_verdict> preview(const prompt_identity& prompt) const;

    /// Ends the quarantine of a part, at all instances once they are told; only crashes from now on
    /// count, also against the parts whose crashes it explained. Returns whether it was refused.
    bool lift(std::uint64_t part, time_point now);

    /// What this instance has found out and must now tell all others. Drops expired records.
    [[nodiscard]] quarantine_update take_news(time_point now);

    /// The evidence, for an instance that may have missed some: that against the most suspect
    /// parts, at most `max_summary_crashes`. Empty when there is none.
    [[nodiscard]] quarantine_update summary(time_point now);

    /// The changes since the last call; at most `max_events`.
    [[nodiscard]] std::vector<quarantine_event> take_events();

    /// The parts that are refused now.
    [[nodiscard]] std::vector<quarantined_part> refused(time_point now) const;

    /// Number of records. For tests and metrics.
    [[nodiscard]] std::size_t size() { return records_.size(); }

    /// Evidence expires when none follows it for this long.
    static constexpr seconds evidence_ttl{120};

    /// A quarantine ends this long after the last request with the part.
    static constexpr seconds refusal_hold{60};

    /// Delay after which a refused caller may try again.
    static constexpr seconds retry_delay{30};

    /// Evidence in a summary. An instance receives four a second in the mean; of this size they use
    /// about half of what it may spend on messages between instances.
    static constexpr std::size_t max_summary_crashes = 96;

    static constexpr std::size_t capacity = 2048; ///< Records.
    static constexpr std::size_t max_events = 64;

private:
    static constexpr std::size_t shard_count = 16;

    /// A part was answered "shortly before" a crash within this time.
    static constexpr seconds recent_answer{30};

    /// Evidence against a part that was answered shortly before waits this long for the next
    /// answer, which voids it, before other instances are told.
    static constexpr milliseconds answer_wait{500};

    /// Instances that know the same answer announce it at different times within this period, so
    /// that the first announcement makes the others needless.
    static constexpr std::uint64_t answer_spread_ms = 300;

    using record_map = sharded_map<std::uint64_t, part_record, shard_count>;

    /// Something to be told to all instances at a time.
    struct pending_news
    {
        std::uint64_t part{0};
        std::uint64_t crash{0};     ///< 0: an answer.
        time_point known_through{}; ///< Needless if an answer after this is known to the others.
        time_point send_at{};
    };

    using verdict_list = std::vector<quarantined_part>; ///< Ordered by part.
    using verdicts_ptr = std::shared_ptr<const verdict_list>;

    /// Applies `visitor` to the record of a part, which is made if absent.
    template <class Visitor>
    void update_record(std::uint64_t part, time_point now, Visitor&& visitor);

    /// The verdict on the last part of the prompt that is refused; calls `visitor` with each such
    /// part.
    template <class Visitor>
    [[nodiscard]] std::optional<part_verdict> last_verdict(const prompt_identity& prompt,
                                                           const Visitor& visitor) const;

    /// Finds the parts that are refused, without those whose crashes another one explains, and
    /// logs what changed.
    void update_verdicts(time_point now);
    [[nodiscard]] verdicts_ptr verdicts() const;
    [[nodiscard]] static const quarantined_part* find_verdict(const verdict_list& verdicts,
                                                              std::uint64_t part);
    static void make_room(record_map::map_type& entries);

    /// The part, and those whose crashes it explains.
    [[nodiscard]] std::vector<std::uint64_t> explained_by(std::uint64_t part);

    /// Clears a part if it is suspected.
    void clear(std::uint64_t part, time_point now);

    /// Adds evidence of a crash that this instance has seen; returns whether the part is suspected
    /// of another one.
    [[nodiscard]] bool add_crash(const crash_evidence& evidence, time_point now);

    void add_pending(pending_news news);
    void add_event(quarantine_event event);
    void expire(time_point now);
    void append(const pending_news& news, quarantine_update& out);

    const std::uint64_t seed_;
    answer_log answers_;
    record_map records_;
    mutable std::mutex mutex_;
    verdicts_ptr verdicts_{std::make_shared<verdict_list>()}; ///< Never null. Guarded by `mutex_`.
    std::vector<pending_news> pending_;    ///< At most `max_pending`. Guarded by `mutex_`.
    std::vector<quarantine_event> events_; ///< At most `max_events`. Guarded by `mutex_`.

    static constexpr std::size_t max_pending = 256;
};

} // namespace mangovane

#endif
