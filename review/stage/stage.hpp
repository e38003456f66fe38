// Parts of the review's scripts: processes of the deploy file, and stand-ins of the platform's
// store, of engines and of clients. Everything is on loopback addresses.
#ifndef REVIEW_STAGE_HPP
#define REVIEW_STAGE_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace stage
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the program.
double now_ms();
void sleep_ms(double ms);

/// Writes lines with the time to record.txt.
class record
{
public:
    explicit record(const std::string& path) : out_{path} {}
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

// HTTP messages.

struct http_request
{
    std::string method, target, body;
    std::vector<std::pair<std::string, std::string>> fields;
    [[nodiscard]] std::string field(const std::string& name) const;
    [[nodiscard]] bool keep_alive() const;
};

/// Bytes of a connection, read with a time limit.
class connection
{
public:
    explicit connection(int fd) : fd_{fd} {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Reads more bytes into `buffer`; false at the end, on an error or at the deadline.
    bool fill(double deadline_ms);
    bool write(const std::string& bytes);
    /// Closes with a reset.
    void reset();
    void shutdown_write();
    /// Whether the peer has closed.
    [[nodiscard]] bool closed_by_peer() const;
    [[nodiscard]] int fd() const { return fd_; }

    std::string buffer;
    bool end{false};        ///< The peer has closed in order.
    bool was_reset{false};  ///< The connection broke.
    bool timed_out{false};

private:
    int fd_;
};

/// Reads one request; empty at the end of the connection.
std::optional<http_request> read_request(connection& conn, double idle_ms);

/// Serves each connection in a thread of its own.
class server
{
public:
    using handler = std::function<bool(connection&)>; ///< Returns when the connection is finished.
    server(std::string ip, std::uint16_t port, handler handle);
    ~server();
    /// Closes the listening socket and all connections, as the end of a process does.
    void stop();
    [[nodiscard]] std::string address() const { return ip_ + ":" + std::to_string(port_); }

private:
    void accept_loop();
    std::string ip_;
    std::uint16_t port_;
    handler handle_;
    int fd_{-1};
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<std::weak_ptr<connection>> connections_;
    std::thread thread_;
};

// The platform's store.

class store
{
public:
    store(const std::string& ip, std::uint16_t port);
    /// Writes as the operator or an engine does; returns the time of the acknowledgement.
    double put(const std::string& table, const std::string& key, const std::string& value);
    double remove(const std::string& table, const std::string& key);
    [[nodiscard]] std::string address() const { return server_.address(); }
    void stop() { server_.stop(); }

    /// Called with the client's call before it is answered; may delay. For cases that need it.
    std::function<void(const std::string& target)> before_answer;

private:
    struct row
    {
        std::string value;
        std::uint64_t version{0};
        bool removed{false};
        clock::time_point at;
    };
    bool serve(connection& conn);
    std::string rows_json(const std::string& table, std::uint64_t since, bool feed,
                          const std::string& from, std::size_t limit);
    std::pair<int, std::string> get(const std::map<std::string, std::string>& query);
    std::pair<int, std::string> feed(const std::map<std::string, std::string>& query);
    std::pair<int, std::string> transaction(const std::string& body);
    void drop_history();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_{1};
    std::uint64_t dropped_{0}; ///< Newest version of which the history is gone.
    server server_;
};

// Engines.

struct run
{
    std::string id;
    double at;
    bool finished{false};
};

/// What a stand-in engine does with a request that it runs, instead of the plain answer.
class engine
{
public:
    using behaviour = std::function<void(engine&, connection&, const http_request&)>;
    engine(std::string id, const std::string& ip, std::uint16_t port, double work_ms);
    /// The entry for the store.
    [[nodiscard]] std::string entry(const std::string& service, const std::string& zone,
                                    const std::string& state = "ready") const;
    /// Ends the engine as its process would.
    void stop() { server_->stop(); }
    /// Starts it again, as a new boot.
    void start(std::string id);
    [[nodiscard]] bool up() const { return up_; }
    [[nodiscard]] std::vector<run> runs();
    [[nodiscard]] const std::string& id() const { return id_; }
    void add_run(const std::string& id);
    void finish_run(const std::string& id);
    /// Head fields of an answer of this engine to the request.
    [[nodiscard]] std::string answer_fields(const http_request& req) const;

    behaviour act; ///< Empty: a plain answer after the work.
    double work_ms;
    std::atomic<bool> up_{true};

private:
    bool serve(connection& conn);
    std::string id_, ip_;
    std::uint16_t port_;
    std::uint64_t born_;
    std::mutex mutex_;
    std::vector<run> runs_;
    std::unique_ptr<server> server_;
};

// Clients.

struct answer
{
    int status{0};        ///< 0: none.
    bool complete{false}; ///< The body is complete by its framing.
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string error;    ///< Why it is not complete.
    [[nodiscard]] std::string field(const std::string& name) const;
};

/// A connection of a client, kept for several requests.
class client
{
public:
    explicit client(std::string address) : address_{std::move(address)} {}
    /// Sends a request and reads its answer until the deadline.
    answer send(const http_request& req, double timeout_ms);
    void close() { conn_.reset(); }
    /// Connects if needed; false on failure.
    bool connect();
    connection* conn() { return conn_.get(); }

private:
    std::string address_;
    std::unique_ptr<connection> conn_;
};

/// Reads an answer of a connection.
answer read_answer(connection& conn, double deadline_ms, bool head_only = false);
std::string to_text(const http_request& req);
int connect_to(const std::string& address, double timeout_ms);

// Processes.

/// Fields of the settings of one machine that the deploy file may name.
using settings = std::map<std::string, std::string>;

class process
{
public:
    process(std::vector<std::string> command, std::vector<std::string> env, std::string log);
    ~process();
    void signal(int number);
    /// Waits until it has ended; false at the deadline.
    bool wait(double timeout_ms);
    void kill();
    [[nodiscard]] pid_t pid() const { return pid_; }

private:
    pid_t pid_{-1};
    bool ended_{false};
};

/// A small deployment: routers on machines in zones, started by the deploy file.
class deployment
{
public:
    /// `per_zone` machines in each zone.
    deployment(std::vector<std::string> zones, int per_zone, std::string folder,
               const std::string& store_address, int port_base);
    ~deployment();
    void start(std::size_t n);
    void start_all();
    bool await_ready(std::size_t n, double timeout_ms);
    [[nodiscard]] std::size_t size() const { return machines_.size(); }
    [[nodiscard]] const std::string& zone(std::size_t n) const { return machines_[n].zone; }
    [[nodiscard]] std::string frontend(std::size_t n) const;
    [[nodiscard]] std::string readiness(std::size_t n) const;
    /// Whether the last line about this duty in the machine's log says that it reads the store.
    [[nodiscard]] bool reads_store(std::size_t n) const;
    [[nodiscard]] std::string log(std::size_t n) const { return folder_ + "/router-" + std::to_string(n) + ".log"; }
    process& at(std::size_t n) { return *machines_[n].running; }
    void stop_all();

private:
    struct machine
    {
        std::string ip, zone;
        std::unique_ptr<process> running;
    };
    std::vector<machine> machines_;
    std::string folder_, store_;
    int port_base_;
    std::string run_line_;
    std::vector<std::pair<std::string, std::string>> env_;
};

/// Text of a configuration with the routes `grant` (unsafe), `status` (idempotent), `review`
/// (streaming) and `rights` (streaming, resumable).
std::string manifest(int version, const std::string& extra_routes = {});

/// A port from which on `count` ports are free on 127.0.0.1 and on the other addresses used.
int free_ports(int count, const std::vector<std::string>& ips);

/// Whether the disruption is wanted (TROUBLE is not 0).
bool trouble();

/// A new temporary folder.
std::string temporary_folder();
std::string unique_id();

/// Ends all processes, removes the folder and ends the program.
[[noreturn]] void finish(deployment& fleet, const std::string& folder, int code);

} // namespace stage

#endif
