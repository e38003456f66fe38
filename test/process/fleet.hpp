// A fleet of real processes on loopback: the platform, engines, plain services and routers.
#ifndef MANGOVANE_TEST_PROCESS_FLEET_HPP
#define MANGOVANE_TEST_PROCESS_FLEET_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "process/child_process.hpp"
#include "process/http_client.hpp"

namespace mangovane::test
{

struct fleet_size
{
    std::size_t routers{3};
    std::size_t engines{3};
    std::size_t services{3};
    milliseconds token_interval{5}; ///< Of the engines, whose streams have 8 tokens.

    auto operator<=>(const fleet_size&) const = default;
};

/// Key retention of the service in the settings; differs from the default of the program.
constexpr seconds key_retention{7200};

class fleet
{
public:
    /// Starts all processes; returns when every router serves chats and reads.
    explicit fleet(const fleet_size& size);
    ~fleet();

    [[nodiscard]] std::size_t routers() const noexcept { return routers_.size(); }
    [[nodiscard]] const std::string& router_address(std::size_t n) const
    {
        return routers_[n].callers;
    }
    [[nodiscard]] child_process& router(std::size_t n) { return *routers_[n].process; }
    void start_router(std::size_t n);
    [[nodiscard]] bool is_ready(std::size_t n) const;

    /// Runs `mangovanectl` with the addresses of the platform and of router 0.
    [[nodiscard]] program_result ctl(const std::string& arguments) const;
    [[nodiscard]] std::string settings_file() const { return file_; }

    [[nodiscard]] http_response send_to_platform(const http_request& request) const;
    void set_store_down(bool down) const;
    /// From now on the engines take ten times as long.
    void slow_engines_down() const;

    /// Number of chats that the engines of a failure domain have started so far.
    [[nodiscard]] std::uint64_t chats_started(const std::string& domain) const;
    /// Number of chats that all engines have started so far.
    [[nodiscard]] std::uint64_t chats_started() const;
    /// Number of runs of each write over all plain services, by its id.
    [[nodiscard]] std::map<std::string, std::uint64_t> runs() const;

private:
    struct endpoint_process
    {
        std::string name;
        std::string service;
        std::string domain;
        std::unique_ptr<child_process> process;
    };

    struct router_process
    {
        std::string name;
        std::string domain;
        std::string callers;
        std::string peers;
        std::string operators;
        std::unique_ptr<child_process> process;
    };

    void start_endpoints(const fleet_size& size);
    void publish_list() const;
    void write_settings();
    void await_ready() const;

    child_process platform_;
    std::vector<endpoint_process> endpoints_;
    std::vector<router_process> routers_;
    std::string file_; ///< Path of the settings file.
};

/// Requests of a client of the fleet.
[[nodiscard]] http_request chat_request(const std::string& chat);
[[nodiscard]] http_request keyed_write(const std::string& key);
[[nodiscard]] http_request unkeyed_write(const std::string& id);
[[nodiscard]] http_request read_request();

/// Whether the response of a streamed chat is complete.
[[nodiscard]] bool is_complete_chat(const http_response& response);

} // namespace mangovane::test

#endif
