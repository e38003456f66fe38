// The native router as a target of crowds: an ordinary plain service, and one whose endpoint takes
// long.
#ifndef MANGOVANE_TEST_PLATFORM_NATIVE_CROWD_TARGET_HPP
#define MANGOVANE_TEST_PLATFORM_NATIVE_CROWD_TARGET_HPP

#include <string>

#include "platform/caller_crowd.hpp"
#include "process/child_process.hpp"
#include "process/http_client.hpp"
#include "process/native_router.hpp"

namespace mangovane::test
{

/// `max_header_bytes` of the native front end.
constexpr std::size_t native_header_bytes = std::size_t{16} * 1024;

/// Beginning of a request for the endpoint that takes long.
inline const std::string native_request_begin = "POST /services/archivo/folios HTTP/1.1\r\n"
                                                "Host: desk.example\r\n"
                                                "Authorization: Bearer secret\r\n"
                                                "Mangovane-Deadline-Ms: 6000\r\n";

class native_crowd_target
{
public:
    /// Whether one ordinary request is answered at the first try.
    [[nodiscard]] bool serves_at_once() const
    {
        const http_request request{
            "GET",
            "/services/ventanilla/status",
            {},
            {{"Authorization", "Bearer secret"}, {"Mangovane-Deadline-Ms", "2500"}},
            milliseconds{3000}};
        return send(router.address, request).status == 200;
    }

    [[nodiscard]] bool serves_within(milliseconds time) const
    {
        return eventually([this] { return serves_at_once(); }, time);
    }

private:
    holding_endpoint archive_;
    child_process desk_{{"mangovane-standin", "service"}, true};

public:
    native_router router{{R"("ventanilla": {"kind": "plain"},
        "archivo": {"kind": "plain", "ramp_start": 1000, "min_slots": 1000, "max_in_flight": 1000,
                    "queue_per_account": 1000, "queue_per_endpoint": 1000})",
                          {"ventanilla/ventanilla-0/bogota-a/" + desk_.address(),
                           "archivo/archivo-0/bogota-a/" + archive_.address()}}};
};

} // namespace mangovane::test

#endif
