// Implementation of reading settings versions and rolling back to one.
#include "mangovane/settings/store.hpp"

#include <exception>
#include <memory>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include "mangovane/core/hash.hpp"
#include "mangovane/settings/apply_operation.hpp"

namespace mangovane
{

namespace
{

namespace json = boost::json;

std::string text_in(const json::value& row, const char* key)
{
    return json::value_to<std::string>(row.at(key));
}

absl::StatusOr<std::optional<settings_record>>
record_from(const absl::StatusOr<std::optional<table_row>>& row)
{
    if (!row.ok())
    {
        return row.status();
    }
    if (!row->has_value())
    {
        return std::optional<settings_record>{};
    }
    auto head = parse_settings_record((*row)->value);
    if (!head.ok())
    {
        return head.status();
    }
    return std::optional{*std::move(head)};
}

/// Reads history rows from the newest to older ones.
class history_reader : public std::enable_shared_from_this<history_reader>
{
public:
    history_reader(settings_store store,
                   std::size_t count,
                   time_point deadline,
                   settings_store::history_handler handler)
        : store_{store}, count_{count}, deadline_{deadline}, handler_{std::move(handler)}
    {}

    void start()
    {
        store_.read_head(deadline_,
                         [self = shared_from_this()](const auto& head) { self->on_row(head); });
    }

private:
    void on_row(const absl::StatusOr<std::optional<settings_record>>& head)
    {
        if (!head.ok())
        {
            handler_(head.status());
            return;
        }
        if (head->has_value())
        {
            records_.push_back(**head);
        }
        if (!head->has_value() || records_.size() >= count_ || records_.back().version <= 1)
        {
            handler_(std::move(records_));
            return;
        }
        store_.read_version(records_.back().version - 1, deadline_,
                            [self = shared_from_this()](const auto& next) { self->on_row(next); });
    }

    settings_store store_;
    std::size_t count_;
    time_point deadline_;
    settings_store::history_handler handler_;
    std::vector<settings_record> records_;
};

} // namespace

std::string to_json(const settings_record& head)
{
    json::object result;
    result["version"] = head.version;
    result["change_id"] = head.change_id;
    result["author"] = head.author;
    result["object"] = head.object;
    result["digest"] = head.digest;
    result["previous"] = head.previous;
    return json::serialize(result);
}

absl::StatusOr<settings_record> parse_settings_record(std::string_view text)
{
    try
    {
        const auto row = json::parse(json::string_view{text.data(), text.size()});
        settings_record result;
        result.version = row.at("version").to_number<std::uint64_t>();
        result.change_id = text_in(row, "change_id");
        result.author = text_in(row, "author");
        result.object = text_in(row, "object");
        result.digest = row.at("digest").to_number<std::uint64_t>();
        result.previous = text_in(row, "previous");
        return result;
    }
    catch (const std::exception& ex)
    {
        return absl::DataLossError(absl::StrCat("malformed settings row: ", ex.what()));
    }
}

void settings_store::read_row(std::string key, time_point deadline, record_handler handler) const
{
    table_.read(std::move(key), deadline,
                [handler = std::move(handler)](const absl::StatusOr<std::optional<table_row>>& row)
                { handler(record_from(row)); });
}

void settings_store::read_head(time_point deadline, record_handler handler) const
{
    read_row(settings_head_key, deadline, std::move(handler));
}

void settings_store::read_version(std::uint64_t version,
                                  time_point deadline,
                                  record_handler handler) const
{
    read_row(internal::history_key(version), deadline, std::move(handler));
}

void settings_store::read_text(const settings_record& head,
                               time_point deadline,
                               text_handler handler) const
{
    objects_.get(head.object, deadline,
                 [handler = std::move(handler), digest = head.digest,
                  name = head.object](absl::StatusOr<std::string> text)
                 {
                     if (text.ok() && hash_bytes(*text) != digest)
                     {
                         text = absl::DataLossError(
                             absl::StrCat("object ", name, " does not match its digest"));
                     }
                     handler(std::move(text));
                 });
}

void settings_store::history(std::size_t count, time_point deadline, history_handler handler) const
{
    std::make_shared<history_reader>(*this, count, deadline, std::move(handler))->start();
}

void settings_store::apply(settings_change change, time_point deadline, apply_handler handler) const
{
    std::make_shared<internal::apply_operation>(table_, objects_, std::move(change), deadline,
                                                std::move(handler))
        ->start();
}

void settings_store::rollback(std::uint64_t version,
                              settings_change change,
                              time_point deadline,
                              apply_handler handler) const
{
    const auto fail = [handler](apply_result result, std::string error) {
        handler({result, {}, {}, std::move(error)});
    };
    read_version(
        version, deadline,
        [=, self = *this](const absl::StatusOr<std::optional<settings_record>>& head) mutable
        {
            if (!head.ok())
            {
                fail(apply_result::failed, std::string{head.status().message()});
                return;
            }
            if (!head->has_value())
            {
                fail(apply_result::no_such_version,
                     absl::StrCat("no such settings version: ", version));
                return;
            }
            self.read_text(**head, deadline,
                           [=](const absl::StatusOr<std::string>& text) mutable
                           {
                               if (!text.ok())
                               {
                                   fail(apply_result::failed, std::string{text.status().message()});
                                   return;
                               }
                               change.text = *text;
                               self.apply(std::move(change), deadline, handler);
                           });
        });
}

} // namespace mangovane
