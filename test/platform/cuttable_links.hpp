// Links of router processes that a test can cut: from the other routers to each of them, and from
// each of them to the store.
#ifndef MANGOVANE_TEST_PLATFORM_CUTTABLE_LINKS_HPP
#define MANGOVANE_TEST_PLATFORM_CUTTABLE_LINKS_HPP

#include <map>
#include <thread>

#include "platform/router_fleet.hpp"
#include "soak/link_proxy.hpp"

namespace mangovane::test
{

/// Must outlive the fleet that uses it.
class cuttable_links
{
public:
    cuttable_links() : thread_{[this] { io_.run(); }} {}
    ~cuttable_links()
    {
        io_.stop();
        thread_.join();
    }
    cuttable_links(const cuttable_links&) = delete;
    cuttable_links& operator=(const cuttable_links&) = delete;

    /// For `fleet_params::links`.
    [[nodiscard]] router_links of(std::size_t router, const router_links& direct)
    {
        auto& it = routers_[router];
        if (!it.store)
        {
            it.store = std::make_unique<proxy>(io_, "127.0.0.1:0", direct.store);
            it.peers = std::make_unique<proxy>(io_, "127.0.0.1:0", direct.peer);
        }
        return {it.store->address(), it.peers->address()};
    }

    void cut_store(std::size_t router) { cut(*routers_.at(router).store); }
    void restore_store(std::size_t router) { routers_.at(router).store->set({}); }

    /// Between all routers.
    void cut_peers()
    {
        for (auto& [n, it] : routers_)
        {
            cut(*it.peers);
        }
    }
    void restore_peers()
    {
        for (auto& [n, it] : routers_)
        {
            it.peers->set({});
        }
    }

private:
    using proxy = soak::link_proxy;

    struct links
    {
        std::unique_ptr<proxy> store;
        std::unique_ptr<proxy> peers;
    };

    static void cut(proxy& it)
    {
        it.set({.refuses_connections = true});
        it.reset_all();
    }

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        io_.get_executor()};
    std::map<std::size_t, links> routers_;
    std::thread thread_;
};

} // namespace mangovane::test

#endif
