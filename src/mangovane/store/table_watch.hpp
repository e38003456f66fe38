// Watches a table of the store: reads the whole table, then its changes, and retries after
// failures.
#ifndef MANGOVANE_STORE_TABLE_WATCH_HPP
#define MANGOVANE_STORE_TABLE_WATCH_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "mangovane/retry/answer_timeout.hpp"
#include "mangovane/store/table_reader.hpp"

namespace mangovane
{

/// Receives the rows of a watched table. Called on one strand for each table.
class table_sink
{
public:
    virtual ~table_sink() = default;

    /// The whole table at a revision; some rows may be newer.
    virtual void on_snapshot(const std::vector<store_row>& rows, store_revision revision) = 0;

    /// Changed and removed rows up to a revision; also the rows of a list that cannot be read to
    /// its end.
    virtual void on_changes(const std::vector<store_row>& rows, store_revision revision) = 0;

    /// No key after this one can be read in the list, which goes on.
    virtual void on_incomplete_list(const std::string& last_key) = 0;

    /// The store responded; called before the rows of the response are passed on.
    virtual void on_response() = 0;

    /// A call failed; it is retried after a delay.
    virtual void on_failure(const absl::Status& status) = 0;

    /// Revision up to which the table has been received from other instances; queried before
    /// reading resumes.
    virtual store_revision resume_revision() = 0;
};

/// Keeps itself alive while a call is pending.
class table_watch : public std::enable_shared_from_this<table_watch>
{
public:
    /// `reader` and `sink` must outlive the last call. `wait` is the duration of a long poll; a
    /// shorter one detects an outage of the store sooner.
    table_watch(boost::asio::io_context& io,
                table_reader& reader,
                std::string table,
                milliseconds wait,
                table_sink& sink);

    /// Starts reading, or resumes from the revision that is known by then.
    void start();

    /// Stops after the call in flight.
    void stop();

private:
    void resume();
    void read_table(const std::string& from);
    void on_page(absl::StatusOr<store_rows> page);
    void read_changes();
    void on_changes(const absl::StatusOr<store_rows>& response);
    /// Notes the start of a call that may take this time besides the answer.
    void begin_call(milliseconds wait);
    /// Takes the result of a call into account for the time that the next one gets.
    void learn_timeout(const absl::Status& status);
    void fail(const absl::Status& status);
    void schedule_after(milliseconds delay, void (table_watch::*next)());
    void read_from_start() { read_table({}); }
    [[nodiscard]] bool end_call();
    /// Whether a response is of an earlier era than one before it. Such a response was delayed, and
    /// is dropped; the read is repeated.
    [[nodiscard]] bool drops(const store_rows& response);

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    table_reader& reader_;
    const std::string table_;
    const milliseconds wait_;       ///< Duration of a long poll.
    answer_timeout list_timeout_;   ///< Of a read of a page.
    answer_timeout change_timeout_; ///< Of a read of changes, beyond its wait.
    table_sink& sink_;
    boost::asio::steady_timer timer_;
    std::vector<store_row> rows_; ///< Rows of the pages read so far.
    std::string page_from_;       ///< Key from which the page was read last.
    /// Of the first page. Later pages are newer, but do not show what was removed from earlier
    /// ones.
    std::optional<store_revision> table_revision_;
    store_revision revision_;         ///< Revision up to which the table is known; 0: unknown.
    std::uint64_t era_{0};            ///< Latest era of a response; never decreases.
    milliseconds backoff_{0};         ///< Delay after the next failure.
    time_point answer_expected_at_{}; ///< Of the pending call, if the store took no time.
    bool reading_{false};
    bool call_pending_{false};      ///< A call or a delay is pending.
    bool last_call_expired_{false}; ///< Its answer did not come in time.
};

} // namespace mangovane

#endif
