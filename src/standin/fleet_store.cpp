// Implementation of the stand-in for the platform's store.
#include "standin/fleet_store.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <boost/json.hpp>
#include <boost/url.hpp>

#include "standin/support.hpp"

namespace mangovane::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds poll_period{5};

/// A surrogate in a key, whose only form in JSON is an escape.
constexpr const char* unpaired_surrogate = "\xed\xa0\x80";

/// A call that reads, and the parameters that it takes.
struct read_call
{
    std::string_view path;
    std::array<std::string_view, 3> parameters;
};

constexpr read_call list_call{"/rows-get", {"table", "part", "from"}};
constexpr read_call feed_call{"/rows-feed", {"table", "since_rev", "wait_ms"}};

/// Decodes the parameters of the target; nothing if it is malformed or names one twice.
std::optional<query> read_query(std::string_view target)
{
    const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url)
    {
        return std::nullopt;
    }
    query result;
    for (const auto& it : url->params())
    {
        if (!result.emplace(it.key, it.value).second)
        {
            return std::nullopt;
        }
    }
    return result;
}

/// Like `read_query`; nothing also if the call does not take one of the parameters.
std::optional<query> read_query(std::string_view target, const read_call& call)
{
    auto result = read_query(target);
    const auto is_taken = [&](const auto& it)
    {
        return std::find(call.parameters.begin(), call.parameters.end(), it.first) !=
               call.parameters.end();
    };
    const bool valid = result && std::all_of(result->begin(), result->end(), is_taken);
    return valid ? std::move(result) : std::nullopt;
}

/// Value of a parameter; empty without it.
std::string value_in(const query& parameters, const std::string& name)
{
    const auto it = parameters.find(name);
    return it == parameters.end() ? std::string{} : it->second;
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

/// Parameters of the control path `/standin/faults`.
constexpr std::array<std::pair<const char*, bool store_faults::*>, 4> switches{
    {{"down", &store_faults::down},
     {"silent", &store_faults::silent},
     {"lose_answers", &store_faults::lose_answers},
     {"no_history", &store_faults::no_history}}};

/// The store's steady clock.
std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

json::object to_json(const std::string& table, const std::string& key, const stored_row& row)
{
    json::object result{{"table", table},
                        {"part", ""},
                        {"key", key},
                        {"value", absl::Base64Escape(row.value)},
                        {"ver", row.revision}};
    if (row.removed)
    {
        result["deleted"] = true;
    }
    return result;
}

std::string rows_text(json::array rows, bool more, std::uint64_t revision)
{
    const auto text = json::serialize(json::object{
        {"rows", std::move(rows)}, {"more_pages", more}, {"ver", revision}, {"now_ms", now_ms()}});
    return absl::StrReplaceAll(text, {{unpaired_surrogate, "\\ud800"}});
}

} // namespace

void fleet_store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock{mutex_};
    contents_.tables[table][key] = stored_row{value, ++contents_.revision, false};
}

void fleet_store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock{mutex_};
    contents_.tables[table][key] = stored_row{{}, ++contents_.revision, true};
}

store_copy fleet_store::copy() const
{
    const std::lock_guard lock{mutex_};
    return contents_;
}

void fleet_store::come_back_from(const store_copy& older)
{
    const std::lock_guard lock{mutex_};
    contents_ = older;
    ++era_;
}

bool fleet_store::lacks(std::uint64_t revision) const
{
    const std::lock_guard lock{mutex_};
    return revision > contents_.revision;
}

asio::awaitable<void> fleet_store::answer(reply& rep, unsigned status, std::string body) const
{
    {
        const std::lock_guard lock{mutex_};
        if (era_ != 0)
        {
            rep.add_field("Store-Era", std::to_string(era_));
        }
    }
    co_await rep.send(status, std::move(body));
}

std::string fleet_store::value_of(const std::string& table, const std::string& key) const
{
    const std::lock_guard lock{mutex_};
    const auto rows = contents_.tables.find(table);
    if (rows == contents_.tables.end())
    {
        return {};
    }
    const auto found = rows->second.find(key);
    return found == rows->second.end() ? std::string{} : found->second.value;
}

void fleet_store::set_faults(store_faults faults)
{
    const std::lock_guard lock{mutex_};
    faults_ = faults;
}

std::uint64_t fleet_store::calls() const
{
    const std::lock_guard lock{mutex_};
    return calls_;
}

std::string fleet_store::changes(const std::string& table, std::uint64_t since) const
{
    const std::lock_guard lock{mutex_};
    std::map<std::uint64_t, json::object> ordered;
    if (const auto it = contents_.tables.find(table); it != contents_.tables.end())
    {
        for (const auto& [key, value] : it->second)
        {
            if (value.revision <= since || (since == 0 && value.removed))
            {
                continue;
            }
            ordered.emplace(value.revision, to_json(table, key, value));
        }
    }
    json::array rows;
    for (auto& [revision, entry] : ordered)
    {
        rows.push_back(std::move(entry));
    }
    return rows_text(std::move(rows), false, contents_.revision);
}

std::string fleet_store::list(const std::string& table, const std::string& from) const
{
    const std::lock_guard lock{mutex_};
    json::array rows;
    std::size_t bytes = 0;
    const auto found = contents_.tables.find(table);
    static const std::map<std::string, stored_row> none;
    const auto& all = found == contents_.tables.end() ? none : found->second;
    for (auto it = all.lower_bound(from); it != all.end(); ++it)
    {
        if (it->second.removed)
        {
            continue;
        }
        auto row = to_json(table, it->first, it->second);
        bytes += row.at("value").as_string().size();
        if (rows.size() == max_page_rows || bytes > max_page_bytes)
        {
            return rows_text(std::move(rows), true, contents_.revision);
        }
        rows.push_back(std::move(row));
    }
    return rows_text(std::move(rows), false, contents_.revision);
}

bool fleet_store::has_changes(const std::string& table, std::uint64_t since) const
{
    const std::lock_guard lock{mutex_};
    const auto it = contents_.tables.find(table);
    return it != contents_.tables.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](const auto& entry) { return entry.second.revision > since; });
}

asio::awaitable<void> fleet_store::feed(const query& parameters, reply& rep)
{
    const auto table = value_in(parameters, "table");
    const auto since = number(value_in(parameters, "since_rev"));
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds{number(value_in(parameters, "wait_ms"))};
    while (!lacks(since) && !has_changes(table, since) && std::chrono::steady_clock::now() < until)
    {
        co_await rep.pause(poll_period);
    }
    if (lacks(since))
    {
        co_await answer(rep, 410, "{}");
        co_return;
    }
    co_await answer(rep, 200, changes(table, since));
}

unsigned fleet_store::write(const std::string& body)
{
    boost::system::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec || !value.is_object())
    {
        return 400;
    }
    const auto& obj = value.as_object();
    const std::lock_guard lock{mutex_};
    for (const auto& it : obj.at("expected_rev").as_array())
    {
        const auto& row = it.as_object();
        auto& table = contents_.tables[row.at("table").as_string().c_str()];
        const auto found = table.find(row.at("key").as_string().c_str());
        const auto revision =
            found == table.end() || found->second.removed ? 0 : found->second.revision;
        if (revision != row.at("ver").to_number<std::uint64_t>())
        {
            return 412;
        }
    }
    for (const auto& it : obj.at("put").as_array())
    {
        const auto& entry = it.as_object();
        std::string bytes;
        absl::Base64Unescape(entry.at("value").as_string().c_str(), &bytes);
        contents_
            .tables[entry.at("table").as_string().c_str()][entry.at("key").as_string().c_str()] =
            stored_row{bytes, ++contents_.revision, false};
    }
    for (const auto& it : obj.at("remove").as_array())
    {
        const auto& entry = it.as_object();
        contents_
            .tables[entry.at("table").as_string().c_str()][entry.at("key").as_string().c_str()] =
            stored_row{{}, ++contents_.revision, true};
    }
    return 200;
}

asio::awaitable<void> fleet_store::respond(const request& req, reply& rep)
{
    const std::string_view target{req.target().data(), req.target().size()};
    const auto path = target.substr(0, target.find('?'));
    if (path == list_call.path)
    {
        if (const auto parameters = read_query(target, list_call))
        {
            co_await answer(rep, 200,
                            list(value_in(*parameters, "table"), value_in(*parameters, "from")));
            co_return;
        }
        co_await answer(rep, 400, "{}");
    }
    else if (path == feed_call.path)
    {
        if (const auto parameters = read_query(target, feed_call))
        {
            co_await feed(*parameters, rep);
            co_return;
        }
        co_await answer(rep, 400, "{}");
    }
    else if (path == "/rows-tx")
    {
        const auto status = write(req.body());
        co_await answer(rep, status, "{\"ver\":1,\"now_ms\":1}");
    }
    else
    {
        co_await answer(rep, 404, "{}");
    }
}

asio::awaitable<void> fleet_store::handle(const request& req, reply& rep)
{
    const std::string_view target{req.target().data(), req.target().size()};
    if (target.starts_with("/standin/faults"))
    {
        const auto parameters = read_query(target).value_or(query{});
        store_faults faults;
        for (const auto& [name, member] : switches)
        {
            faults.*member = value_in(parameters, name) == "1";
        }
        faults.slow_ms = static_cast<std::uint32_t>(number(value_in(parameters, "slow_ms")));
        set_faults(faults);
        co_await rep.send(200, "{}");
        co_return;
    }
    store_faults faults;
    {
        const std::lock_guard lock{mutex_};
        ++calls_;
        faults = faults_;
    }
    if (faults.slow_ms != 0)
    {
        co_await rep.pause(std::chrono::milliseconds{faults.slow_ms});
    }
    if (faults.silent)
    {
        co_await rep.pause(std::chrono::minutes{10});
    }
    if (faults.down)
    {
        co_await answer(rep, 503, "{}");
    }
    else if (faults.no_history && target.starts_with("/rows-feed"))
    {
        co_await answer(rep, 410, "{}");
    }
    else if (faults.lose_answers && target.starts_with("/rows-tx"))
    {
        (void)write(req.body());
        rep.reset();
    }
    else
    {
        co_await respond(req, rep);
    }
}

} // namespace mangovane::standin
