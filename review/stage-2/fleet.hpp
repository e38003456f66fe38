// Stand-ins of the platform: its store and its engines, as the users' protocol page describes them.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <semaphore>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"

namespace stage
{

using std::chrono::milliseconds;

/// Lines with the time since the start, for record.txt.
class record
{
public:
    explicit record(const std::string& path) : file_{std::fopen(path.c_str(), "w")}
    {
        if (file_ == nullptr)
        {
            throw std::runtime_error("cannot write " + path);
        }
    }
    ~record() { std::fclose(file_); }
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    void line(const std::string& text)
    {
        const std::lock_guard lock{mutex_};
        std::fprintf(file_, "%8.3f  %s\n", seconds_since(start_), text.c_str());
        std::fflush(file_);
    }
    [[nodiscard]] double now() const { return seconds_since(start_); }

private:
    std::FILE* const file_;
    const steady::time_point start_{steady::now()};
    std::mutex mutex_;
};

inline std::string base64(const std::string& text)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k != 3; ++k)
        {
            bits = bits << 8 | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
        }
        for (std::size_t k = 0; k != 4; ++k)
        {
            out += n + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

/// The platform's store: linearizable, each transaction with the next version. It can come back
/// from an older copy, which raises its era and gives versions out again.
class store
{
public:
    explicit store(const std::string& address)
    {
        serve(address, [this](connection_ptr conn) { run(*conn); });
    }

    /// Path at which an engine in a process of its own writes its row; followed by its id.
    static constexpr std::string_view engine_row_path{"/standin/engine-row/"};

    /// Writes a row as the operator or an engine does; returns its version, or 0 while away.
    std::uint64_t put(const std::string& table, const std::string& key, const std::string& value)
    {
        return write(table, key, base64(value), false);
    }
    std::uint64_t remove(const std::string& table, const std::string& key)
    {
        return write(table, key, {}, true);
    }

    void keep_copy()
    {
        const std::lock_guard lock{mutex_};
        copy_ = contents_;
    }

    /// Goes away: connections end, calls get no service until `come_back`.
    void go_away()
    {
        const std::lock_guard lock{mutex_};
        away_ = true;
        ++sitting_;
        changed_.notify_all();
        for (const auto it : open_)
        {
            ::shutdown(it, SHUT_RDWR);
        }
    }
    void come_back()
    {
        const std::lock_guard lock{mutex_};
        contents_ = copy_;
        ++era_;
        away_ = false;
    }
    [[nodiscard]] std::uint64_t version()
    {
        const std::lock_guard lock{mutex_};
        return contents_.version;
    }

private:
    struct row
    {
        std::string value; ///< In base64.
        std::uint64_t version{0};
        bool removed{false};
    };
    struct contents
    {
        std::map<std::string, std::map<std::string, row>> tables;
        std::uint64_t version{100};
    };

    std::uint64_t write(const std::string& table, const std::string& key, const std::string& value,
                        bool removed)
    {
        const std::lock_guard lock{mutex_};
        if (away_)
        {
            return 0;
        }
        auto& rows = contents_.tables[table];
        if (removed && rows.count(key) == 0)
        {
            return contents_.version;
        }
        rows[key] = {value, ++contents_.version, removed};
        changed_.notify_all();
        return contents_.version;
    }

    /// `mutex_` is held.
    [[nodiscard]] std::string rows_text(const std::string& table, std::uint64_t since,
                                        bool with_removed)
    {
        std::map<std::uint64_t, std::string> by_version;
        std::string list;
        for (const auto& [key, it] : contents_.tables[table])
        {
            if (it.version <= since || (it.removed && !with_removed))
            {
                continue;
            }
            const auto text = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key +
                              "\",\"value\":\"" + it.value +
                              "\",\"ver\":" + std::to_string(it.version) +
                              (it.removed ? ",\"deleted\":true}" : "}");
            if (with_removed)
            {
                by_version[it.version] = text;
            }
            else
            {
                list += (list.empty() ? "" : ",") + text;
            }
        }
        for (const auto& [version, text] : by_version)
        {
            list += (list.empty() ? "" : ",") + text;
        }
        return "{\"rows\":[" + list + "],\"more_pages\":false," + stamp() + "}";
    }
    [[nodiscard]] std::string stamp() const
    {
        return "\"ver\":" + std::to_string(contents_.version) + ",\"now_ms\":" +
               std::to_string(static_cast<long>(seconds_since(start_) * 1000));
    }
    [[nodiscard]] bool has_news(const std::string& table, std::uint64_t since)
    {
        for (const auto& [key, it] : contents_.tables[table])
        {
            if (it.version > since)
            {
                return true;
            }
        }
        return false;
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        auto at = target.find('?');
        while (at != std::string::npos)
        {
            const auto end = std::min(target.find('&', at + 1), target.size());
            const auto part = target.substr(at + 1, end - at - 1);
            if (part.compare(0, name.size() + 1, name + "=") == 0)
            {
                return part.substr(name.size() + 1);
            }
            at = end == target.size() ? std::string::npos : end;
        }
        return {};
    }

    /// Text of a field in a JSON object whose texts need no escapes.
    static std::string text_in(const std::string& object, const std::string& name)
    {
        const auto mark = "\"" + name + "\":\"";
        const auto at = object.find(mark);
        if (at == std::string::npos)
        {
            return {};
        }
        const auto from = at + mark.size();
        return object.substr(from, object.find('"', from) - from);
    }

    std::pair<int, std::string> transact(const std::string& body)
    {
        const auto from = body.find("\"put\":[");
        const auto to = body.find(']', from);
        std::vector<std::pair<std::string, std::pair<std::string, std::string>>> puts;
        for (auto at = body.find('{', from); at < to; at = body.find('{', at + 1))
        {
            const auto object = body.substr(at, body.find('}', at) - at);
            const auto table = text_in(object, "table");
            if (table == "op" || table == "servers")
            {
                return {403, "{}"};
            }
            puts.push_back({table, {text_in(object, "key"), text_in(object, "value")}});
        }
        for (const auto& [table, it] : puts)
        {
            write(table, it.first, it.second, false);
        }
        const std::lock_guard lock{mutex_};
        return {200, "{" + stamp() + "}"};
    }

    std::pair<int, std::string> answer(const message& req)
    {
        const auto target = req.target();
        if (target.rfind(engine_row_path, 0) == 0)
        {
            put("servers", target.substr(engine_row_path.size()), req.body);
            return {200, "{}"};
        }
        if (target.rfind("/rows-tx", 0) == 0)
        {
            return transact(req.body);
        }
        const auto table = parameter(target, "table");
        std::unique_lock lock{mutex_};
        if (target.rfind("/rows-get", 0) == 0)
        {
            return {200, rows_text(table, 0, false)};
        }
        if (target.rfind("/rows-feed", 0) != 0)
        {
            return {404, "{}"};
        }
        const auto since = std::stoull("0" + parameter(target, "since_rev"));
        const auto until =
            steady::now() + milliseconds{std::stoll("0" + parameter(target, "wait_ms"))};
        const auto sitting = sitting_;
        while (sitting == sitting_ && since <= contents_.version && !has_news(table, since) &&
               changed_.wait_until(lock, until) != std::cv_status::timeout)
        {
        }
        if (since > contents_.version)
        {
            return {410, "{}"};
        }
        return {200, rows_text(table, since, true)};
    }

    void run(connection& conn)
    {
        {
            const std::lock_guard lock{mutex_};
            if (away_)
            {
                return;
            }
            open_.push_back(conn.fd());
        }
        message req;
        while (conn.read(req, 60000))
        {
            const auto [status, body] = answer(req);
            std::string era;
            {
                const std::lock_guard lock{mutex_};
                if (away_)
                {
                    break;
                }
                era = std::to_string(era_);
            }
            std::this_thread::sleep_for(milliseconds{4});
            const bool sent = conn.send("HTTP/1.1 " + std::to_string(status) +
                                        " X\r\nContent-Type: application/json\r\nStore-Era: " +
                                        era + "\r\nContent-Length: " + std::to_string(body.size()) +
                                        "\r\n\r\n" + body);
            if (!sent)
            {
                break;
            }
        }
        const std::lock_guard lock{mutex_};
        std::erase(open_, conn.fd());
    }

    const steady::time_point start_{steady::now()};
    std::mutex mutex_;
    std::condition_variable changed_;
    contents contents_;
    contents copy_;
    std::uint64_t era_{1};
    std::uint64_t sitting_{0}; ///< Rises each time the store goes away.
    bool away_{false};
    std::vector<int> open_;
};

/// What an engine is, as its row in the store says.
struct engine_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    int slots{64};
    milliseconds work{20};  ///< From the arrival of a request to the first byte of its answer.
    int events{0};          ///< 0: an answer with a length instead of a stream.
    milliseconds event_interval{30};
};

/// An engine in the store: it serves requests that name it and writes its row each heartbeat.
class engine
{
public:
    engine(engine_options options, store& platform, record& log)
        : options_{std::move(options)}, store_{platform}, log_{log}, born_{unix_ms()}
    {
        serve(options_.address, [this](connection_ptr conn) { run(*conn); });
        start_thread(
            [this]
            {
                while (true)
                {
                    beat();
                    std::this_thread::sleep_for(heartbeat);
                }
            });
    }

    [[nodiscard]] const engine_options& options() const { return options_; }
    [[nodiscard]] int arrivals() const { return arrivals_; }
    [[nodiscard]] double last_arrival() const { return last_arrival_; }

    static constexpr milliseconds heartbeat{1200};

private:
    static long unix_ms()
    {
        return static_cast<long>(std::chrono::duration_cast<milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
    }

    void beat()
    {
        store_.put("servers", options_.id,
                   "{\"service\":\"" + options_.service + "\",\"address\":\"" + options_.address +
                       "\",\"zone\":\"" + options_.zone + "\",\"version\":\"v1\",\"slots\":" +
                       std::to_string(options_.slots) +
                       ",\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":" +
                       std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) + "}");
    }

    void run(connection& conn)
    {
        message req;
        while (conn.read(req, 20000))
        {
            const auto id = req.field("x-attempt-id");
            if (req.field("x-expect-instance") != options_.id)
            {
                conn.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + options_.id +
                          "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++arrivals_;
            last_arrival_ = log_.now();
            log_.line("runs      " + id + " at " + options_.id + " in " + options_.zone);
            if (options_.work.count() > 0 && ended_within(conn, options_.work))
            {
                return; // The caller has left: an engine drops such a request.
            }
            const slot_holder slot{free_slots_};
            const auto head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                              "\r\nX-Server-Signature: signed-" + id + "\r\n";
            if (!(options_.events == 0 ? send_body(conn, head, id) : stream(conn, head, id)))
            {
                return;
            }
        }
    }

    using slots = std::counting_semaphore<1 << 16>;

    /// Requests beyond the slots of an engine wait in its queue.
    struct slot_holder
    {
        explicit slot_holder(slots& all) : all_{all} { all_.acquire(); }
        ~slot_holder() { all_.release(); }
        slot_holder(const slot_holder&) = delete;
        slot_holder& operator=(const slot_holder&) = delete;

    private:
        slots& all_;
    };

    static bool ended_within(connection& conn, milliseconds time)
    {
        return conn.readable(static_cast<int>(time.count()));
    }
    static bool send_body(connection& conn, const std::string& head, const std::string& id)
    {
        const auto body = "answer to " + id;
        return conn.send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                         body);
    }
    bool stream(connection& conn, const std::string& head, const std::string& id) const
    {
        bool open = conn.send(
            head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int n = 1; open && n <= options_.events; ++n)
        {
            const auto event = "id: " + std::to_string(n) + "\ndata: " + id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            open = conn.send(size + event + "\r\n");
            std::this_thread::sleep_for(options_.event_interval);
        }
        return open && conn.send("0\r\n\r\n");
    }

    const engine_options options_;
    store& store_;
    record& log_;
    const long born_;
    slots free_slots_{options_.slots};
    std::atomic<long> sequence_{0};
    std::atomic<int> arrivals_{0};
    std::atomic<double> last_arrival_{0};
};

/// Whether a machine says that it is ready.
inline bool is_ready(const std::string& address)
{
    const auto conn = connect_to(address);
    message res;
    return conn && conn->send("GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n") &&
           conn->read(res, 1000) && res.status() == 200;
}

inline bool await_ready(const std::vector<std::string>& addresses, int timeout_s)
{
    const auto start = steady::now();
    for (const auto& it : addresses)
    {
        while (!is_ready(it))
        {
            if (seconds_since(start) > timeout_s)
            {
                return false;
            }
            std::this_thread::sleep_for(milliseconds{100});
        }
    }
    return true;
}

} // namespace stage
