// Follows a table of the store: reads it whole, then its changes, through outages of the store.
#ifndef MANGOVANE_STORE_TABLE_WATCH_HPP
#define MANGOVANE_STORE_TABLE_WATCH_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "mangovane/store/table_reader.hpp"

namespace mangovane
{

/// Where the rows of a table go. Called on one strand for each table.
class table_sink
{
public:
    virtual ~table_sink() = default;

    /// The whole table at a revision.
    virtual void on_snapshot(const std::vector<store_row>& rows, std::uint64_t revision) = 0;
    virtual void on_changes(const std::vector<store_row>& rows, std::uint64_t revision) = 0;
    virtual void on_response() = 0;
    virtual void on_failure(const absl::Status& status) = 0;

    /// Revision up to which the table is known from other instances, before reading goes on.
    virtual std::uint64_t resume_revision() = 0;
};

class table_watch : public std::enable_shared_from_this<table_watch>
{
public:
    /// The reader and the sink outlive the watch's last call. The shorter the wait, the sooner an
    /// outage of the store shows.
    table_watch(boost::asio::io_context& io,
                table_reader& reader,
                std::string table,
                milliseconds wait,
                table_sink& sink);

    /// Begins to read, or goes on from what is known meanwhile.
    void start();

    /// Stops after the call that is under way.
    void stop();

private:
    void resume();
    void read_table(const std::string& from);
    void on_page(const absl::StatusOr<store_rows>& page);
    void read_changes();
    void on_changes(const absl::StatusOr<store_rows>& answer);
    void fail(const absl::Status& status);
    void schedule_after(milliseconds delay, void (table_watch::*next)());
    void read_from_start() { read_table({}); }
    [[nodiscard]] bool end_call();

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    table_reader& reader_;
    const std::string table_;
    const milliseconds wait_; ///< For which a read waits for a change.
    table_sink& sink_;
    boost::asio::steady_timer timer_;
    std::vector<store_row> rows_; ///< Of the pages read so far.
    std::uint64_t revision_{0};   ///< Up to which the table is known; 0: not at all.
    milliseconds backoff_{0};     ///< After the next failure.
    bool reading_{false};
    bool call_pending_{false}; ///< A call or a pause is under way.
};

} // namespace mangovane

#endif
