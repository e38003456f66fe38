// Stand-in for the platform's store: tables with revisions, lists in pages, long polling for
// changes, and injected faults. It decodes the target of a call as servers do, and responds 400 to
// one that is not well-formed or has other parameters than the call takes.
#ifndef MANGOVANE_STANDIN_FLEET_STORE_HPP
#define MANGOVANE_STANDIN_FLEET_STORE_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "standin/http_host.hpp"

namespace mangovane::standin
{

struct store_faults
{
    bool down{false};         ///< Responds 503.
    bool silent{false};       ///< Accepts calls and sends no response.
    bool lose_answers{false}; ///< Applies a write, then resets the connection.
    bool no_history{false};   ///< Responds 410 to reads of changes.
    std::uint32_t slow_ms{0};

    auto operator<=>(const store_faults&) const = default;
};

/// Decoded parameters of a call, by name.
using query = std::map<std::string, std::string>;

struct stored_row
{
    std::string value;
    std::uint64_t revision{0};
    bool removed{false};

    auto operator<=>(const stored_row&) const = default;
};

/// Contents of the store at one revision.
struct store_copy
{
    std::map<std::string, std::map<std::string, stored_row>> tables;
    std::uint64_t revision{1};

    auto operator<=>(const store_copy&) const = default;
};

class fleet_store
{
public:
    static constexpr std::size_t max_page_rows = 500;
    static constexpr std::size_t max_page_bytes = 1'000'000; ///< Of encoded values.

    boost::asio::awaitable<void> handle(const request& req, reply& rep);

    /// Writes or removes a row without a revision check.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

    /// Value of a row; empty if it does not exist.
    [[nodiscard]] std::string value_of(const std::string& table, const std::string& key) const;

    /// Keeps a copy of all tables, as the store's backup does.
    [[nodiscard]] store_copy copy() const;

    /// Comes back from a copy: later writes are lost, their revisions are given out again, and the
    /// era, which all responses state, rises by one. Before the first return responses have no era.
    void come_back_from(const store_copy& older);

    void set_faults(store_faults faults);
    [[nodiscard]] std::uint64_t calls() const;

private:
    [[nodiscard]] std::string list(const std::string& table, const std::string& from) const;
    [[nodiscard]] std::string changes(const std::string& table, std::uint64_t since) const;
    [[nodiscard]] bool has_changes(const std::string& table, std::uint64_t since) const;
    boost::asio::awaitable<void> feed(const query& parameters, reply& rep);
    [[nodiscard]] unsigned write(const std::string& body);
    boost::asio::awaitable<void> respond(const request& req, reply& rep);
    boost::asio::awaitable<void> answer(reply& rep, unsigned status, std::string body) const;
    [[nodiscard]] bool lacks(std::uint64_t revision) const;

    mutable std::mutex mutex_;
    store_copy contents_;    ///< Guarded by `mutex_`.
    std::uint64_t era_{0};   ///< Number of returns from a copy. Guarded by `mutex_`.
    store_faults faults_;    ///< Guarded by `mutex_`.
    std::uint64_t calls_{0}; ///< Guarded by `mutex_`.
};

} // namespace mangovane::standin

#endif
