// Implementation of the platform stand-in.
#include "standin/platform.hpp"

#include <array>
#include <utility>

#include <boost/json.hpp>
#include <boost/url/pct_string_view.hpp>

#include "mangovane/store/platform_codec.hpp"
#include "standin/support.hpp"

namespace mangovane::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

using faults = platform_faults;

constexpr std::array fault_entries{
    fault_entry<faults>{"down", &faults::down},
    fault_entry<faults>{"lose_answers", &faults::lose_answers},
    fault_entry<faults>{"stale_list", &faults::stale_list},
    fault_entry<faults>{"slow_ms", &faults::slow_ms},
    fault_entry<faults>{"max_writes_per_s", &faults::max_writes_per_s},
    fault_entry<faults>{"max_reads_per_s", &faults::max_reads_per_s}};

/// Name of a counter in `GET /stats` and its member.
struct stat_entry
{
    std::string_view name;
    std::uint64_t platform_stats::*member;
};

constexpr std::array stat_entries{stat_entry{"reads", &platform_stats::reads},
                                  stat_entry{"writes", &platform_stats::writes},
                                  stat_entry{"rows_written", &platform_stats::rows_written},
                                  stat_entry{"conflicts", &platform_stats::conflicts},
                                  stat_entry{"rejected", &platform_stats::rejected},
                                  stat_entry{"lost_answers", &platform_stats::lost_answers}};

std::string error_text(std::string_view text)
{
    return json::serialize(json::object{{"error", json::string{text.data(), text.size()}}});
}

json::value row_value(const table_row& row)
{
    if (row.revision == 0)
    {
        return nullptr;
    }
    return json::object{{"key", row.key}, {"value", row.value}, {"revision", row.revision}};
}

std::vector<table_write> parse_writes(const std::string& text)
{
    std::vector<table_write> writes;
    const auto value = json::parse(text);
    for (const auto& it : value.at("writes").as_array())
    {
        const auto& obj = it.as_object();
        writes.push_back({json::value_to<std::string>(obj.at("key")),
                          json::value_to<std::string>(obj.at("value")),
                          obj.at("expected_revision").to_number<std::uint64_t>()});
    }
    return writes;
}

std::string decode_segment(std::string_view text)
{
    const auto segment = boost::urls::make_pct_string_view({text.data(), text.size()});
    return segment ? segment->decode() : std::string{};
}

} // namespace

/// Kind of a call, which selects its rate limit and counter.
enum class call_kind : std::uint8_t
{
    control, ///< Not subject to faults.
    read,
    write,
};

struct platform::route
{
    http::verb verb;
    std::string_view path;
    bool has_rest; ///< `path` is a prefix; the rest is the name of a row or object.
    call_kind kind;
    action run;

    [[nodiscard]] bool matches(http::verb method, std::string_view target) const
    {
        return method == verb && (has_rest ? target.starts_with(path) : target == path);
    }
};

bool rate_window::allow(std::uint32_t limit, time_point now)
{
    if (now - start_ >= seconds{1})
    {
        start_ = now;
        count_ = 0;
    }
    if (limit != 0 && count_ >= limit)
    {
        return false;
    }
    ++count_;
    return true;
}

platform::platform() : list_{R"({"instances":[],"endpoints":[]})"}, stale_list_{list_} {}

asio::awaitable<void> platform::handle(const request& req, reply& rep)
{
    static constexpr std::array routes{
        route{http::verb::post, "/fault", false, call_kind::control, &platform::change_fault},
        route{http::verb::get, "/stats", false, call_kind::control, &platform::get_stats},
        route{http::verb::put, "/v1/instances", false, call_kind::control, &platform::put_list},
        route{http::verb::get, "/v1/instances", false, call_kind::read, &platform::get_list},
        route{http::verb::post, "/v1/table/write", false, call_kind::write, &platform::write_rows},
        route{http::verb::get, "/v1/table/", true, call_kind::read, &platform::read_row},
        route{http::verb::get, "/v1/objects/", true, call_kind::read, &platform::get_object},
        route{http::verb::put, "/v1/objects/", true, call_kind::write, &platform::put_object}};
    const std::string target{req.target()};
    for (const auto& it : routes)
    {
        if (!it.matches(req.method(), target))
        {
            continue;
        }
        const bool faulty = it.kind != call_kind::control;
        if (faulty)
        {
            co_await pause_for(milliseconds{faults_.slow_ms});
        }
        if (faulty && faults_.down)
        {
            rep.reset();
            co_return;
        }
        response_ = response{};
        if (admit(it))
        {
            (this->*it.run)(req, decode_segment(std::string_view{target}.substr(it.path.size())));
        }
        if (it.kind == call_kind::write && faults_.lose_answers && response_.status < 300)
        {
            ++stats_.lost_answers;
            rep.reset();
            co_return;
        }
        auto result = std::move(response_);
        co_await rep.send(result.status, std::move(result.body));
        co_return;
    }
    co_await rep.send(404, error_text("no such path"));
}

bool platform::admit(const route& to)
{
    const auto now = clock::now();
    const bool allowed =
        to.kind == call_kind::control ||
        (to.kind == call_kind::read ? reads_.allow(faults_.max_reads_per_s, now)
                                    : writes_.allow(faults_.max_writes_per_s, now));
    if (!allowed)
    {
        ++stats_.rejected;
        response_ = response{429, error_text("too many calls a second")};
        return false;
    }
    stats_.reads += to.kind == call_kind::read ? 1U : 0U;
    stats_.writes += to.kind == call_kind::write ? 1U : 0U;
    return true;
}

void platform::read_row(const request&, std::string key)
{
    const auto it = rows_.find(key);
    response_ = it == rows_.end() ? response{404, error_text("no such row")}
                                  : response{200, json::serialize(row_value(it->second))};
}

void platform::write_rows(const request& req, std::string)
{
    std::vector<table_write> writes;
    try
    {
        writes = parse_writes(req.body());
    }
    catch (const std::exception& ex)
    {
        response_ = response{400, error_text(ex.what())};
        return;
    }
    json::array results;
    for (const auto& it : writes)
    {
        const auto result = apply(it);
        results.push_back(
            json::object{{"applied", result.applied}, {"current", row_value(result.current)}});
    }
    response_.body = json::serialize(json::object{{"results", std::move(results)}});
}

write_result platform::apply(const table_write& write)
{
    const auto it = rows_.find(write.key);
    const auto revision = it == rows_.end() ? 0 : it->second.revision;
    if (revision != write.expected_revision)
    {
        ++stats_.conflicts;
        return {false, it == rows_.end() ? table_row{} : it->second};
    }
    ++stats_.rows_written;
    const table_row row{write.key, write.value, revision + 1};
    rows_[write.key] = row;
    return {true, row};
}

void platform::get_object(const request&, std::string name)
{
    const auto it = objects_.find(name);
    response_ = it == objects_.end() ? response{404, error_text("no such object")}
                                     : response{200, it->second};
}

void platform::put_object(const request& req, std::string name)
{
    objects_[name] = req.body();
    response_.body = "{}";
}

void platform::get_list(const request&, std::string)
{
    response_.body = faults_.stale_list ? stale_list_ : list_;
}

void platform::put_list(const request& req, std::string)
{
    const auto list = decode_discovery_list(req.body());
    if (!list.ok())
    {
        response_ = response{400, error_text(std::string{list.status().message()})};
        return;
    }
    list_ = req.body();
    response_.body = list_;
}

void platform::get_stats(const request&, std::string)
{
    json::object obj;
    for (const auto& it : stat_entries)
    {
        obj[{it.name.data(), it.name.size()}] = stats_.*it.member;
    }
    response_.body = json::serialize(obj);
}

void platform::change_fault(const request& req, std::string)
{
    const bool was_stale = faults_.stale_list;
    if (!change_faults<faults>(faults_, fault_entries, req.body()))
    {
        response_ = response{400, error_text("not an object of known faults")};
        return;
    }
    if (faults_.stale_list && !was_stale)
    {
        stale_list_ = list_;
    }
    response_.body = "{}";
}

} // namespace mangovane::standin
