// Implementation of the parts of the review's scripts.
#include "stage.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json/src.hpp>

namespace stage
{

namespace json = boost::json;

namespace
{

const auto started = clock::now();

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string::npos ? std::string{} : text.substr(first, last - first + 1);
}

std::string field_in(const std::vector<std::pair<std::string, std::string>>& fields, const std::string& name)
{
    for (const auto& [key, value] : fields)
    {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
        {
            return value;
        }
    }
    return {};
}

/// Splits a head into its first line and its fields.
std::pair<std::string, std::vector<std::pair<std::string, std::string>>> parse_head(const std::string& text)
{
    std::pair<std::string, std::vector<std::pair<std::string, std::string>>> result;
    std::size_t at = 0;
    bool first = true;
    while (at < text.size())
    {
        const auto end = std::min(text.find("\r\n", at), text.size());
        const auto line = text.substr(at, end - at);
        at = end + 2;
        if (first)
        {
            result.first = line;
            first = false;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            result.second.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
        }
    }
    return result;
}

/// Reads up to the end of a head; empty if there is none.
std::optional<std::string> read_head(connection& conn, double deadline)
{
    for (;;)
    {
        const auto end = conn.buffer.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            auto head = conn.buffer.substr(0, end);
            conn.buffer.erase(0, end + 4);
            return head;
        }
        if (!conn.fill(deadline))
        {
            return std::nullopt;
        }
    }
}

bool read_exactly(connection& conn, std::size_t count, std::string& out, double deadline)
{
    while (conn.buffer.size() < count)
    {
        if (!conn.fill(deadline))
        {
            out += conn.buffer;
            conn.buffer.clear();
            return false;
        }
    }
    out += conn.buffer.substr(0, count);
    conn.buffer.erase(0, count);
    return true;
}

bool read_line(connection& conn, std::string& out, double deadline)
{
    for (;;)
    {
        const auto end = conn.buffer.find("\r\n");
        if (end != std::string::npos)
        {
            out = conn.buffer.substr(0, end);
            conn.buffer.erase(0, end + 2);
            return true;
        }
        if (!conn.fill(deadline))
        {
            return false;
        }
    }
}

bool read_chunks(connection& conn, std::string& out, double deadline)
{
    for (;;)
    {
        std::string line;
        if (!read_line(conn, line, deadline))
        {
            return false;
        }
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0)
        {
            while (read_line(conn, line, deadline))
            {
                if (line.empty())
                {
                    return true;
                }
            }
            return false;
        }
        std::string rest;
        if (!read_exactly(conn, size, out, deadline) || !read_exactly(conn, 2, rest, deadline))
        {
            return false;
        }
    }
}

sockaddr_in address_of(const std::string& address)
{
    sockaddr_in result{};
    const auto colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

constexpr char base64_digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& text)
{
    std::string result;
    for (std::size_t n = 0; n < text.size(); n += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k != 3; ++k)
        {
            bits = bits << 8U | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
        }
        for (std::size_t k = 0; k != 4; ++k)
        {
            result += n + k <= text.size() ? base64_digits[bits >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return result;
}

std::string from_base64(const std::string& text)
{
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text)
    {
        const auto* at = c == '=' ? nullptr : std::strchr(base64_digits, c);
        if (at == nullptr)
        {
            continue;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(at - base64_digits);
        count += 6;
        if (count >= 8)
        {
            count -= 8;
            result += static_cast<char>(bits >> count & 255U);
        }
    }
    return result;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> result;
    const auto mark = target.find('?');
    std::istringstream in{mark == std::string::npos ? std::string{} : target.substr(mark + 1)};
    for (std::string part; std::getline(in, part, '&');)
    {
        const auto equals = part.find('=');
        std::string value;
        const auto raw = equals == std::string::npos ? std::string{} : part.substr(equals + 1);
        for (std::size_t n = 0; n < raw.size(); ++n)
        {
            if (raw[n] == '%' && n + 2 < raw.size())
            {
                value += static_cast<char>(std::stoi(raw.substr(n + 1, 2), nullptr, 16));
                n += 2;
            }
            else
            {
                value += raw[n];
            }
        }
        result[part.substr(0, equals)] = value;
    }
    return result;
}

std::uint64_t number(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto it = query.find(name);
    return it == query.end() || it->second.empty() ? 0 : std::stoull(it->second);
}

std::string text(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto it = query.find(name);
    return it == query.end() ? std::string{} : it->second;
}

/// The `what`s below are the placeholders that the deploy file uses.
std::string fill_in(std::string line, const settings& fields)
{
    for (std::size_t at = line.find("{{"); at != std::string::npos; at = line.find("{{"))
    {
        const auto end = line.find("}}", at);
        const auto name = line.substr(at + 2, end - at - 2);
        const auto it = fields.find(name);
        if (it == fields.end())
        {
            std::cerr << "the deploy file names the unknown field " << name << '\n';
            std::exit(2);
        }
        line.replace(at, end + 2 - at, it->second);
    }
    return line;
}

std::string quoted_value(const std::string& line)
{
    const auto first = line.find('"');
    const auto last = line.rfind('"');
    return line.substr(first + 1, last - first - 1);
}

} // namespace

double now_ms()
{
    return std::chrono::duration<double, std::milli>(clock::now() - started).count();
}

void sleep_ms(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

void record::line(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.1f ", now_ms());
    const std::lock_guard lock{mutex_};
    out_ << time << text << std::endl;
}

std::string http_request::field(const std::string& name) const
{
    return field_in(fields, name);
}

bool http_request::keep_alive() const
{
    return lower(field("Connection")) != "close";
}

std::string answer::field(const std::string& name) const
{
    return field_in(fields, name);
}

connection::~connection()
{
    ::close(fd_);
}

bool connection::fill(double deadline_ms)
{
    const auto left = deadline_ms - now_ms();
    pollfd ready{fd_, POLLIN, 0};
    const int n = ::poll(&ready, 1, left <= 0 ? 0 : static_cast<int>(std::ceil(left)));
    if (n <= 0)
    {
        timed_out = true;
        return false;
    }
    char buf[16384];
    const auto count = ::recv(fd_, buf, sizeof buf, 0);
    if (count > 0)
    {
        buffer.append(buf, static_cast<std::size_t>(count));
        return true;
    }
    end = count == 0;
    was_reset = count < 0;
    return false;
}

bool connection::write(const std::string& bytes)
{
    std::size_t done = 0;
    while (done != bytes.size())
    {
        const auto n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

void connection::reset()
{
    const linger it{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &it, sizeof it);
    // Disconnects at once, with a reset; the descriptor stays valid for threads that use it.
    const sockaddr unspecified{AF_UNSPEC, {}};
    ::connect(fd_, &unspecified, sizeof unspecified);
    ::shutdown(fd_, SHUT_RDWR);
}

void connection::shutdown_write()
{
    ::shutdown(fd_, SHUT_WR);
}

bool connection::closed_by_peer() const
{
    char byte = 0;
    const auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::optional<http_request> read_request(connection& conn, double idle_ms)
{
    const auto head = read_head(conn, now_ms() + idle_ms);
    if (!head)
    {
        return std::nullopt;
    }
    http_request result;
    auto [line, fields] = parse_head(*head);
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    result.method = line.substr(0, first);
    result.target = line.substr(first + 1, last - first - 1);
    result.fields = std::move(fields);
    const auto deadline = now_ms() + 5000;
    const auto length = result.field("Content-Length");
    const bool read = lower(result.field("Transfer-Encoding")) == "chunked"
                          ? read_chunks(conn, result.body, deadline)
                          : read_exactly(conn, length.empty() ? 0 : std::stoul(length), result.body, deadline);
    return read ? std::optional{std::move(result)} : std::nullopt;
}

server::server(std::string ip, std::uint16_t port, handler handle)
    : ip_{std::move(ip)}, port_{port}, handle_{std::move(handle)}
{
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = address_of(address());
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || ::listen(fd_, 512) != 0)
    {
        std::cerr << "cannot listen on " << address() << '\n';
        std::exit(2);
    }
    thread_ = std::thread{[this] { accept_loop(); }};
}

server::~server()
{
    stop();
}

void server::stop()
{
    if (stopped_.exchange(true))
    {
        return;
    }
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
    const std::lock_guard lock{mutex_};
    for (const auto& it : connections_)
    {
        if (const auto conn = it.lock())
        {
            ::shutdown(conn->fd(), SHUT_RDWR);
        }
    }
}

void server::accept_loop()
{
    while (!stopped_)
    {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
        {
            if (stopped_)
            {
                return;
            }
            sleep_ms(1);
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto conn = std::make_shared<connection>(fd);
        {
            const std::lock_guard lock{mutex_};
            std::erase_if(connections_, [](const auto& it) { return it.expired(); });
            connections_.push_back(conn);
        }
        std::thread{[conn, handle = handle_]
                    {
                        while (handle(*conn))
                        {
                        }
                    }}
            .detach();
    }
}

// Store.

namespace
{

constexpr double answer_ms = 4;
constexpr double transaction_ms = 5;
constexpr std::size_t page_rows = 500;
constexpr auto history = std::chrono::seconds{20};

std::string reply_text(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

store::store(const std::string& ip, std::uint16_t port)
    : server_{ip, port, [this](connection& conn) { return serve(conn); }}
{}

double store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock{mutex_};
    tables_[table][key] = row{value, ++version_, false, clock::now()};
    changed_.notify_all();
    return now_ms();
}

double store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock{mutex_};
    tables_[table][key] = row{{}, ++version_, true, clock::now()};
    changed_.notify_all();
    return now_ms();
}

void store::drop_history()
{
    const auto oldest = clock::now() - history;
    for (auto& [name, table] : tables_)
    {
        for (auto it = table.begin(); it != table.end();)
        {
            const bool gone = it->second.removed && it->second.at < oldest;
            dropped_ = gone ? std::max(dropped_, it->second.version) : dropped_;
            it = gone ? table.erase(it) : std::next(it);
        }
    }
}

std::string store::rows_json(const std::string& table, std::uint64_t since, bool feed,
                             const std::string& from, std::size_t limit)
{
    std::vector<std::pair<std::string, row>> rows;
    for (const auto& [key, it] : tables_[table])
    {
        const bool wanted = feed ? it.version > since : !it.removed && key >= from;
        if (wanted)
        {
            rows.emplace_back(key, it);
        }
    }
    if (feed)
    {
        std::sort(rows.begin(), rows.end(),
                  [](const auto& lhs, const auto& rhs) { return lhs.second.version < rhs.second.version; });
    }
    const bool more = !feed && rows.size() > limit;
    rows.resize(std::min(rows.size(), feed ? rows.size() : limit));
    json::array list;
    for (const auto& [key, it] : rows)
    {
        json::object entry{{"table", table}, {"part", ""}, {"key", key}, {"value", to_base64(it.value)}, {"ver", it.version}};
        if (it.removed)
        {
            entry["deleted"] = true;
        }
        list.push_back(std::move(entry));
    }
    return json::serialize(json::object{{"rows", std::move(list)},
                                        {"ver", version_},
                                        {"now_ms", static_cast<std::uint64_t>(now_ms())},
                                        {"more_pages", more}});
}

std::pair<int, std::string> store::get(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock{mutex_};
    const auto limit = number(query, "limit");
    return {200, rows_json(text(query, "table"), 0, false, text(query, "from"),
                           limit == 0 ? page_rows : std::min<std::size_t>(limit, page_rows))};
}

std::pair<int, std::string> store::feed(const std::map<std::string, std::string>& query)
{
    const auto table = text(query, "table");
    const auto since = number(query, "since_rev");
    const auto until = clock::now() + milliseconds{std::min<std::uint64_t>(number(query, "wait_ms"), 30000)};
    std::unique_lock lock{mutex_};
    drop_history();
    if (since < dropped_)
    {
        return {410, "{}"};
    }
    const auto has_news = [&]
    {
        const auto& rows = tables_[table];
        return std::any_of(rows.begin(), rows.end(), [&](const auto& it) { return it.second.version > since; });
    };
    changed_.wait_until(lock, until, has_news);
    return {200, rows_json(table, since, true, {}, 0)};
}

std::pair<int, std::string> store::transaction(const std::string& body)
{
    sleep_ms(transaction_ms);
    boost::system::error_code ec;
    const auto parsed = json::parse(body, ec);
    if (ec || !parsed.is_object())
    {
        return {400, "{}"};
    }
    const auto& obj = parsed.as_object();
    const auto name = [](const json::object& it, const char* key) { return std::string{it.at(key).as_string()}; };
    const std::lock_guard lock{mutex_};
    for (const char* list : {"put", "remove"})
    {
        for (const auto& it : obj.at(list).as_array())
        {
            const auto table = name(it.as_object(), "table");
            if (table == "op" || table == "servers")
            {
                return {403, "{}"};
            }
        }
    }
    for (const auto& it : obj.at("expected_rev").as_array())
    {
        const auto& table = tables_[name(it.as_object(), "table")];
        const auto found = table.find(name(it.as_object(), "key"));
        const auto version = found == table.end() || found->second.removed ? 0 : found->second.version;
        if (version != it.as_object().at("ver").to_number<std::uint64_t>())
        {
            return {412, "{\"rows\":[]}"};
        }
    }
    ++version_;
    for (const auto& it : obj.at("put").as_array())
    {
        tables_[name(it.as_object(), "table")][name(it.as_object(), "key")] =
            row{from_base64(name(it.as_object(), "value")), version_, false, clock::now()};
    }
    for (const auto& it : obj.at("remove").as_array())
    {
        tables_[name(it.as_object(), "table")][name(it.as_object(), "key")] = row{{}, version_, true, clock::now()};
    }
    changed_.notify_all();
    return {200, json::serialize(json::object{{"ver", version_}, {"now_ms", static_cast<std::uint64_t>(now_ms())}})};
}

bool store::serve(connection& conn)
{
    const auto req = read_request(conn, 60000);
    if (!req)
    {
        return false;
    }
    const auto path = req->target.substr(0, req->target.find('?'));
    const auto query = query_of(req->target);
    auto result = std::pair<int, std::string>{404, "{}"};
    if (path == "/rows-get")
    {
        result = get(query);
    }
    else if (path == "/rows-feed")
    {
        result = feed(query);
    }
    else if (path == "/rows-tx")
    {
        result = transaction(req->body);
    }
    if (before_answer)
    {
        before_answer(req->target);
    }
    sleep_ms(answer_ms);
    return conn.write(reply_text(result.first, result.second)) && req->keep_alive();
}

// Engines.

engine::engine(std::string id, const std::string& ip, std::uint16_t port, double work)
    : work_ms{work}, ip_{ip}, port_{port}, born_{0}
{
    start(std::move(id));
}

void engine::start(std::string id)
{
    {
        const std::lock_guard lock{mutex_};
        id_ = std::move(id);
    }
    born_ = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                           std::chrono::system_clock::now().time_since_epoch())
                                           .count());
    server_ = std::make_unique<server>(ip_, port_, [this](connection& conn) { return serve(conn); });
    up_ = true;
}

std::string engine::entry(const std::string& service, const std::string& zone, const std::string& state) const
{
    return json::serialize(json::object{{"service", service},
                                        {"address", ip_ + ":" + std::to_string(port_)},
                                        {"zone", zone},
                                        {"version", "v1"},
                                        {"slots", 6},
                                        {"state", state},
                                        {"warmup_left_ms", 0},
                                        {"sequence", 1},
                                        {"born", born_}});
}

std::vector<run> engine::runs()
{
    const std::lock_guard lock{mutex_};
    return runs_;
}

void engine::add_run(const std::string& id)
{
    const std::lock_guard lock{mutex_};
    runs_.push_back({id, now_ms(), false});
}

void engine::finish_run(const std::string& id)
{
    const std::lock_guard lock{mutex_};
    for (auto& it : runs_)
    {
        it.finished = it.finished || it.id == id;
    }
}

std::string engine::answer_fields(const http_request& req) const
{
    return "X-Attempt-Id: " + req.field("X-Attempt-Id") + "\r\nX-Server-Signature: mac-of-" + id_ + "\r\n";
}

bool engine::serve(connection& conn)
{
    const auto req = read_request(conn, 60000);
    if (!req)
    {
        return false;
    }
    const auto wanted = req->field("X-Expect-Instance");
    if (!wanted.empty() && wanted != id_)
    {
        return conn.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id_ +
                          "\r\nContent-Length: 0\r\n\r\n") &&
               req->keep_alive();
    }
    add_run(req->field("X-Attempt-Id"));
    if (act)
    {
        act(*this, conn, *req);
        finish_run(req->field("X-Attempt-Id"));
        return false;
    }
    sleep_ms(work_ms);
    finish_run(req->field("X-Attempt-Id"));
    const auto body = "done by " + id_ + " for " + req->field("X-Attempt-Id");
    return conn.write("HTTP/1.1 200 OK\r\n" + answer_fields(*req) + "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body) &&
           req->keep_alive();
}

// Clients.

int connect_to(const std::string& address, double timeout_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto where = address_of(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 && errno != EINPROGRESS)
    {
        ::close(fd);
        return -1;
    }
    pollfd ready{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&ready, 1, static_cast<int>(timeout_ms)) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

std::string to_text(const http_request& req)
{
    std::string result = req.method + " " + req.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : req.fields)
    {
        result += name + ": " + value + "\r\n";
    }
    if (!req.body.empty() || req.method == "POST")
    {
        result += "Content-Length: " + std::to_string(req.body.size()) + "\r\n";
    }
    return result + "\r\n" + req.body;
}

answer read_answer(connection& conn, double deadline, bool head_only)
{
    answer result;
    const auto fail = [&](const char* where)
    {
        result.error = std::string{where} + (conn.timed_out ? ": time limit" : conn.was_reset ? ": reset" : ": closed");
        return result;
    };
    const auto head = read_head(conn, deadline);
    if (!head)
    {
        return fail("no head");
    }
    auto [line, fields] = parse_head(*head);
    result.status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
    result.fields = std::move(fields);
    const auto length = result.field("Content-Length");
    if (head_only || result.status == 204 || result.status == 304)
    {
        result.complete = true;
    }
    else if (lower(result.field("Transfer-Encoding")) == "chunked")
    {
        result.complete = read_chunks(conn, result.body, deadline);
    }
    else if (!length.empty())
    {
        result.complete = read_exactly(conn, std::stoul(length), result.body, deadline);
    }
    else
    {
        while (conn.fill(deadline))
        {
        }
        result.body = std::exchange(conn.buffer, {});
        result.complete = conn.end;
    }
    return result.complete ? result : fail("in the body");
}

bool client::connect()
{
    if (conn_ && conn_->closed_by_peer())
    {
        conn_.reset();
    }
    if (!conn_)
    {
        const int fd = connect_to(address_, 1000);
        if (fd < 0)
        {
            return false;
        }
        conn_ = std::make_unique<connection>(fd);
    }
    return true;
}

answer client::send(const http_request& req, double timeout_ms)
{
    answer result;
    if (!connect())
    {
        result.error = "cannot connect";
        return result;
    }
    if (!conn_->write(to_text(req)))
    {
        conn_.reset();
        result.error = "cannot send";
        return result;
    }
    result = read_answer(*conn_, now_ms() + timeout_ms, req.method == "HEAD");
    if (!result.complete || lower(result.field("Connection")) == "close")
    {
        conn_.reset();
    }
    return result;
}

// Processes.

process::process(std::vector<std::string> command, std::vector<std::string> env, std::string log)
{
    std::vector<char*> argv;
    std::vector<char*> envp;
    for (auto& it : command)
    {
        argv.push_back(it.data());
    }
    for (auto& it : env)
    {
        envp.push_back(it.data());
    }
    argv.push_back(nullptr);
    envp.push_back(nullptr);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = ::fork();
    if (pid_ == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives the script.
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execve(argv[0], argv.data(), envp.data());
        ::_exit(127);
    }
    ::close(out);
}

process::~process()
{
    kill();
}

void process::signal(int number)
{
    if (!ended_)
    {
        ::kill(pid_, number);
    }
}

bool process::wait(double timeout_ms)
{
    const auto until = now_ms() + timeout_ms;
    while (!ended_)
    {
        ended_ = ::waitpid(pid_, nullptr, WNOHANG) == pid_;
        if (!ended_ && now_ms() >= until)
        {
            return false;
        }
        if (!ended_)
        {
            sleep_ms(2);
        }
    }
    return true;
}

void process::kill()
{
    if (!ended_)
    {
        signal(SIGCONT);
        signal(SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        ended_ = true;
    }
}

deployment::deployment(std::vector<std::string> zones, int per_zone, std::string folder,
                       const std::string& store_address, int port_base)
    : folder_{std::move(folder)}, store_{store_address}, port_base_{port_base}
{
    std::ifstream in{"deploy/system.toml"};
    bool env = false;
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("run"))
        {
            run_line_ = quoted_value(line);
        }
        if (line.starts_with("["))
        {
            env = line.ends_with(".env]");
        }
        else if (env && line.find('=') != std::string::npos)
        {
            env_.emplace_back(trim(line.substr(0, line.find('='))), quoted_value(line));
        }
    }
    if (run_line_.empty())
    {
        std::cerr << "deploy/system.toml has no run line\n";
        std::exit(2);
    }
    int zone = 0;
    for (const auto& it : zones)
    {
        ++zone;
        for (int n = 1; n <= per_zone; ++n)
        {
            machines_.push_back({"127.0." + std::to_string(10 + zone) + "." + std::to_string(n), it, nullptr});
        }
    }
}

deployment::~deployment()
{
    stop_all();
}

void deployment::stop_all()
{
    for (auto& it : machines_)
    {
        it.running.reset();
    }
}

std::string deployment::frontend(std::size_t n) const
{
    return machines_[n].ip + ":" + std::to_string(port_base_);
}

std::string deployment::readiness(std::size_t n) const
{
    return machines_[n].ip + ":" + std::to_string(port_base_ + 1);
}

void deployment::start(std::size_t n)
{
    auto& it = machines_[n];
    // The admin address of the first machine of each zone, as in the users' settings.
    std::string seeds;
    std::string last;
    for (const auto& other : machines_)
    {
        if (other.zone != last)
        {
            last = other.zone;
            seeds += (seeds.empty() ? "" : ",") + other.ip + ":" + std::to_string(port_base_ + 2);
        }
    }
    const settings fields{{"ip", it.ip},
                          {"zone", it.zone},
                          {"listen.frontend", frontend(n)},
                          {"listen.readiness", readiness(n)},
                          {"listen.admin", it.ip + ":" + std::to_string(port_base_ + 2)},
                          {"internal_ports.0", std::to_string(port_base_ + 3)},
                          {"platform.address", store_},
                          {"seeds", seeds},
                          {"bounds.grace_s", "8"},
                          {"bounds.retry_budget_ratio", "0.2"},
                          {"bounds.budget_slack", "104"},
                          {"bounds.retry_window_s", "10"},
                          {"bounds.warmup_overshoot", "1.5"},
                          {"bounds.warmup_tolerance", "5"},
                          {"bounds.cap_factor", "2"}};
    std::vector<std::string> command;
    std::istringstream in{run_line_};
    for (std::string word; in >> word;)
    {
        command.push_back(fill_in(word, fields));
    }
    std::vector<std::string> env{"PATH=/usr/bin:/bin"};
    for (const auto& [name, value] : env_)
    {
        env.push_back(name + "=" + fill_in(value, fields));
    }
    it.running = std::make_unique<process>(std::move(command), std::move(env), log(n));
}

void deployment::start_all()
{
    for (std::size_t n = 0; n != machines_.size(); ++n)
    {
        start(n);
    }
}

bool deployment::await_ready(std::size_t n, double timeout_ms)
{
    const auto until = now_ms() + timeout_ms;
    while (now_ms() < until)
    {
        client it{readiness(n)};
        const http_request req{"GET", "/readyz", "", {{"Host", "ready"}}};
        if (it.send(req, 500).status == 200)
        {
            return true;
        }
        sleep_ms(20);
    }
    return false;
}

bool deployment::reads_store(std::size_t n) const
{
    std::ifstream in{log(n)};
    bool result = true;
    for (std::string line; std::getline(in, line);)
    {
        if (line.find("event=started ") != std::string::npos)
        {
            result = true;
        }
        if (line.find("event=store_duty reads=") != std::string::npos)
        {
            result = line.find("reads=1") != std::string::npos;
        }
    }
    return result;
}

std::string manifest(int version, const std::string& extra_routes)
{
    return "{\"version\":" + std::to_string(version) + R"(,"routes":[)" + extra_routes + R"(
{"name":"review","host":"desk.example","prefix":"/review/","type":"streaming","timeout_ms":12000,"goal_ms":1000,
 "priority":1,"service":"dictamen","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_goal_ms":600},
{"name":"rights","host":"desk.example","prefix":"/rights/","type":"streaming","timeout_ms":10000,"goal_ms":500,
 "priority":0,"service":"dictamen","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_goal_ms":600},
{"name":"grant","host":"desk.example","prefix":"/grant/","type":"unsafe","timeout_ms":800,"goal_ms":300,
 "priority":2,"service":"ventanilla","max_attempts":1,"public":false,"sticky":false},
{"name":"status","host":"desk.example","prefix":"/status/","type":"idempotent","timeout_ms":800,"goal_ms":300,
 "priority":2,"service":"ventanilla","max_attempts":2,"public":false,"sticky":false}],
"services":[{"name":"dictamen","health_path":"/healthz","max_conns":720,"protocol":"h1","tls":false,"warmup_s":3.0,
 "warmup_per_s":9.1,"engine":{"slots":64}},
 {"name":"ventanilla","health_path":"/healthz","max_conns":192,"protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"desk","api_keys":["key-1"],"priority":1}]})";
}

int free_ports(int count, const std::vector<std::string>& ips)
{
    std::mt19937 random{std::random_device{}()};
    for (int n = 0; n != 200; ++n)
    {
        const int base = 20000 + static_cast<int>(random() % 12000);
        bool free = true;
        for (const auto& ip : ips)
        {
            for (int port = base; free && port != base + count; ++port)
            {
                const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
                const int on = 1;
                ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
                const auto where = address_of(ip + ":" + std::to_string(port));
                free = ::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
                ::close(fd);
            }
        }
        if (free)
        {
            return base;
        }
    }
    std::cerr << "no free ports\n";
    std::exit(2);
}

bool trouble()
{
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string{it} != "0";
}

std::string temporary_folder()
{
    auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
    {
        std::exit(2);
    }
    return name;
}

void finish(deployment& fleet, const std::string& folder, int code)
{
    fleet.stop_all();
    std::error_code ec;
    std::filesystem::remove_all(folder, ec);
    std::cout.flush();
    ::_exit(code); // Threads of the stand-ins still run.
}

std::string unique_id()
{
    static std::atomic<std::uint64_t> count{0};
    static const auto base = static_cast<std::uint64_t>(std::random_device{}()) << 32U;
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(base + ++count));
    return text;
}

} // namespace stage
