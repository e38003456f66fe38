// An endpoint that is a process of its own, so that a test can end it by the kernel's means.
#ifndef MANGOVANE_TEST_PLATFORM_ENDPOINT_PROCESS_HPP
#define MANGOVANE_TEST_PLATFORM_ENDPOINT_PROCESS_HPP

#include <string>

#include <sys/types.h>

namespace mangovane::test
{

/// Answers each request with the head of a stream, whose events and end follow when the test says
/// so. A forked child without threads; create it before other threads run.
class endpoint_process
{
public:
    /// With `chunked` the responses are in chunks; otherwise only the end of the connection tells
    /// their end.
    explicit endpoint_process(bool chunked = false);

    /// Kills the process.
    ~endpoint_process();
    endpoint_process(const endpoint_process&) = delete;
    endpoint_process& operator=(const endpoint_process&) = delete;

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    /// Sends the next event of a request's stream; false if the request has not arrived.
    bool send_event(const std::string& id) { return command("event " + id); }
    /// Ends the stream, and the connection with it.
    bool end(const std::string& id) { return command("end " + id); }
    /// Sends the next event and ends the process in the same step.
    void send_event_and_exit(const std::string& id) { command("exit " + id); }
    /// Sends as much of an event without end as the kernel accepts.
    bool fill(const std::string& id) { return command("fill " + id); }
    /// Responses from now on say that the endpoint is leaving.
    void announce_leaving() { command("leaving"); }
    void close_listener() { command("listener"); }
    /// Listens at the address of a process that has ended, in place of its own address.
    bool take_over(const endpoint_process& ended) { return command("address " + ended.address()); }
    /// Ends all streams after a last event each, and then the process.
    void finish() { command("finish"); }
    void exit() { command("exit"); }
    void kill();

private:
    bool command(const std::string& line);

    std::string address_;
    int commands_{-1}; ///< Written by the test.
    int results_{-1};  ///< One byte for each command: whether it could be done.
    pid_t pid_{-1};    ///< -1 after the child was reaped.
};

} // namespace mangovane::test

#endif
