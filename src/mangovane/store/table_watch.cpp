// Implementation of the table watch.
#include "mangovane/store/table_watch.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds first_list_timeout{1000};
constexpr milliseconds longest_list_timeout{4000};

/// Added to the wait of a long poll. An outage is noticed by these calls, so the longest is shorter
/// than that of a list.
constexpr milliseconds first_change_timeout{600};
constexpr milliseconds longest_change_timeout{2000};

/// Delay after a change, so that further changes are read by the same call; each call costs the
/// store.
constexpr milliseconds batch_delay{300};

/// Delay from a snapshot to the first long poll. An instance that starts usually learns meanwhile
/// that another one reads the store for it; in a fleet that starts at once, the polls of all would
/// otherwise be completed by each endpoint that registers.
constexpr milliseconds snapshot_delay{800};

constexpr milliseconds initial_backoff{100};
constexpr milliseconds max_backoff{800};

} // namespace

table_watch::table_watch(asio::io_context& io,
                         table_reader& reader,
                         std::string table,
                         milliseconds wait,
                         table_sink& sink)
    : strand_{asio::make_strand(io)}, reader_{reader}, table_{std::move(table)}, wait_{wait},
      list_timeout_{first_list_timeout, longest_list_timeout},
      change_timeout_{first_change_timeout, longest_change_timeout}, sink_{sink}, timer_{strand_},
      backoff_{initial_backoff}
{}

void table_watch::start()
{
    asio::post(strand_,
               [self = shared_from_this()]
               {
                   self->reading_ = true;
                   if (!self->call_pending_)
                   {
                       self->resume();
                   }
               });
}

void table_watch::stop()
{
    asio::post(strand_,
               [self = shared_from_this()]
               {
                   self->reading_ = false;
                   self->timer_.cancel();
               });
}

void table_watch::resume()
{
    revision_ = std::max(revision_, sink_.resume_revision());
    era_ = std::max(era_, revision_.era);
    backoff_ = initial_backoff;
    if (revision_ == 0)
    {
        read_from_start();
    }
    else
    {
        read_changes();
    }
}

bool table_watch::end_call()
{
    call_pending_ = false;
    return reading_;
}

bool table_watch::drops(const store_rows& response)
{
    if (response.revision.era < era_)
    {
        const auto delay = std::exchange(backoff_, std::min(backoff_ * 2, max_backoff));
        schedule_after(delay, revision_.known() ? &table_watch::read_changes
                                                : &table_watch::read_from_start);
        return true;
    }
    era_ = response.revision.era;
    return false;
}

void table_watch::read_table(const std::string& from)
{
    if (from.empty())
    {
        rows_.clear();
        table_revision_.reset();
    }
    page_from_ = from;
    begin_call(milliseconds{0});
    reader_.list(table_, from, list_timeout_.deadline_from(clock::now()),
                 [self = shared_from_this()](absl::StatusOr<store_rows> page)
                 {
                     asio::post(self->strand_, [self, page = std::move(page)]() mutable
                                { self->on_page(std::move(page)); });
                 });
}

void table_watch::on_page(absl::StatusOr<store_rows> page)
{
    // A first snapshot is completed although the watch was stopped. In a fleet that starts at once
    // most instances stop within the first read; without its result each had to wait for a reader.
    const bool reading = end_call();
    learn_timeout(page.status());
    const bool finishes = page.ok() && revision_ == 0;
    if (!reading && !finishes)
    {
        return;
    }
    if (!page.ok())
    {
        fail(page.status());
        return;
    }
    if (drops(*page))
    {
        return;
    }
    if (table_revision_ && table_revision_->era != era_)
    {
        // The pages before this one are of the era before.
        read_from_start();
        return;
    }
    // The list continues from the last key that could be read. A page may end with other rows.
    const auto next = page->rows.empty() ? std::string{} : page->rows.back().key;
    rows_.insert(rows_.end(), std::make_move_iterator(page->rows.begin()),
                 std::make_move_iterator(page->rows.end()));
    table_revision_ = table_revision_.value_or(page->revision);
    if (page->more && next > page_from_)
    {
        read_table(next);
        return;
    }
    sink_.on_response();
    if (page->more)
    {
        // The next call would get the same page again. The rows read so far are in force; those
        // after them are not removed, as the list does not say whether they exist.
        sink_.on_incomplete_list(page_from_);
        sink_.on_changes(std::exchange(rows_, {}), *table_revision_);
    }
    else
    {
        sink_.on_snapshot(std::exchange(rows_, {}), *table_revision_);
    }
    revision_ = *table_revision_;
    backoff_ = initial_backoff;
    if (reading)
    {
        schedule_after(snapshot_delay, &table_watch::read_changes);
    }
}

void table_watch::read_changes()
{
    // After an answer that did not come in time, one that need not wait for a change comes sooner.
    const auto wait = last_call_expired_ ? milliseconds{0} : wait_;
    begin_call(wait);
    reader_.changes(table_, revision_.number, wait,
                    change_timeout_.deadline_from(clock::now()) + wait,
                    [self = shared_from_this()](absl::StatusOr<store_rows> response)
                    {
                        asio::post(self->strand_, [self, response = std::move(response)]
                                   { self->on_changes(response); });
                    });
}

void table_watch::on_changes(const absl::StatusOr<store_rows>& response)
{
    const bool reading = end_call();
    learn_timeout(response.status());
    if (!reading)
    {
        return;
    }
    if (!response.ok())
    {
        fail(response.status());
        return;
    }
    if (drops(*response))
    {
        return;
    }
    sink_.on_response();
    backoff_ = initial_backoff;
    if (revision_.era != era_)
    {
        // The number that was asked for is of the era before: it says nothing about this one.
        revision_ = {};
        read_from_start();
        return;
    }
    if (response->rows.empty())
    {
        revision_ = std::max(revision_, response->revision);
        read_changes();
        return;
    }
    sink_.on_changes(response->rows, response->revision);
    revision_ = std::max(revision_, response->revision);
    schedule_after(batch_delay, &table_watch::read_changes);
}

void table_watch::begin_call(milliseconds wait)
{
    call_pending_ = true;
    answer_expected_at_ = clock::now() + wait;
}

void table_watch::learn_timeout(const absl::Status& status)
{
    const auto late = std::max(clock::now() - answer_expected_at_, duration{0});
    last_call_expired_ = absl::IsDeadlineExceeded(status);
    list_timeout_ = list_timeout_.after(status, late);
    change_timeout_ = change_timeout_.after(status, late);
}

void table_watch::fail(const absl::Status& status)
{
    if (absl::IsOutOfRange(status) && revision_ != 0)
    {
        // The store is reachable but has discarded the history.
        revision_ = {};
        read_from_start();
        return;
    }
    sink_.on_failure(status);
    const auto delay = std::exchange(backoff_, std::min(backoff_ * 2, max_backoff));
    schedule_after(delay,
                   revision_ == 0 ? &table_watch::read_from_start : &table_watch::read_changes);
}

void table_watch::schedule_after(milliseconds delay, void (table_watch::*next)())
{
    call_pending_ = true;
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this(), next](boost::system::error_code)
        {
            if (self->end_call())
            {
                (self.get()->*next)();
            }
        });
}

} // namespace mangovane
