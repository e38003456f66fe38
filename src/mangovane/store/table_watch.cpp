// Implementation of the watch of a table.
#include "mangovane/store/table_watch.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds list_timeout{1000};

constexpr milliseconds answer_time{600}; ///< Beyond the wait of a read.

/// Changes that come together are read together: each call to the store has its price.
constexpr milliseconds gather_time{300};

constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{800};

} // namespace

table_watch::table_watch(asio::io_context& io,
                         table_reader& reader,
                         std::string table,
                         milliseconds wait,
                         table_sink& sink)
    : strand_{asio::make_strand(io)}, reader_{reader}, table_{std::move(table)}, wait_{wait},
      sink_{sink}, timer_{strand_}, next_pause_{first_pause}
{}

void table_watch::start()
{
    asio::post(strand_,
               [self = shared_from_this()]
               {
                   self->reading_ = true;
                   if (!self->calling_)
                   {
                       self->go_on();
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

void table_watch::go_on()
{
    revision_ = std::max(revision_, sink_.on_resume());
    next_pause_ = first_pause;
    if (revision_ == 0)
    {
        restart();
    }
    else
    {
        read_changes();
    }
}

bool table_watch::take_answer()
{
    calling_ = false;
    return reading_;
}

void table_watch::read_table(const std::string& from)
{
    if (from.empty())
    {
        rows_.clear();
    }
    calling_ = true;
    reader_.list(
        table_, from, clock::now() + list_timeout,
        [self = shared_from_this()](absl::StatusOr<store_rows> page)
        { asio::post(self->strand_, [self, page = std::move(page)] { self->on_page(page); }); });
}

void table_watch::on_page(const absl::StatusOr<store_rows>& page)
{
    if (!take_answer())
    {
        return;
    }
    if (!page.ok())
    {
        fail(page.status());
        return;
    }
    rows_.insert(rows_.end(), page->rows.begin(), page->rows.end());
    if (page->more && !page->rows.empty())
    {
        read_table(page->rows.back().key);
        return;
    }
    sink_.on_answer();
    sink_.on_table(std::exchange(rows_, {}), page->revision);
    revision_ = page->revision;
    next_pause_ = first_pause;
    read_changes();
}

void table_watch::read_changes()
{
    calling_ = true;
    reader_.changes(table_, revision_, wait_, clock::now() + wait_ + answer_time,
                    [self = shared_from_this()](absl::StatusOr<store_rows> answer) {
                        asio::post(self->strand_, [self, answer = std::move(answer)]
                                   { self->on_changes(answer); });
                    });
}

void table_watch::on_changes(const absl::StatusOr<store_rows>& answer)
{
    if (!take_answer())
    {
        return;
    }
    if (!answer.ok())
    {
        fail(answer.status());
        return;
    }
    sink_.on_answer();
    next_pause_ = first_pause;
    if (answer->rows.empty())
    {
        revision_ = std::max(revision_, answer->revision);
        read_changes();
        return;
    }
    sink_.on_changes(answer->rows, answer->revision);
    revision_ = std::max(revision_, answer->revision);
    after(gather_time, &table_watch::read_changes);
}

void table_watch::fail(const absl::Status& status)
{
    if (absl::IsOutOfRange(status) && revision_ != 0)
    {
        // The store answered: only the history is gone.
        revision_ = 0;
        restart();
        return;
    }
    sink_.on_failure(status);
    const auto pause = std::exchange(next_pause_, std::min(next_pause_ * 2, longest_pause));
    after(pause, revision_ == 0 ? &table_watch::restart : &table_watch::read_changes);
}

void table_watch::after(milliseconds pause, void (table_watch::*next)())
{
    calling_ = true;
    timer_.expires_after(pause);
    timer_.async_wait(
        [self = shared_from_this(), next](boost::system::error_code)
        {
            if (self->take_answer())
            {
                (self.get()->*next)();
            }
        });
}

} // namespace mangovane
