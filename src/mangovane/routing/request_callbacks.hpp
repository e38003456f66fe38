// What a front end does for a request on behalf of its flow.
#ifndef MANGOVANE_ROUTING_REQUEST_CALLBACKS_HPP
#define MANGOVANE_ROUTING_REQUEST_CALLBACKS_HPP

#include "mangovane/routing/flow_event.hpp"

namespace mangovane
{

/// Implemented by a front end, one object a request. Calls may come from any thread, never under a
/// lock of the coordinator; they return at once. Results go back through `coordinator::on_event`.
class request_callbacks
{
public:
    virtual ~request_callbacks() = default;
    virtual void send(const send_attempt& action) = 0;
    virtual void abort(const abort_attempt& action) = 0;
    virtual void claim(const claim_key& action) = 0;
    virtual void settle(const settle_claim& action) = 0;
    virtual void answer(const answer_error& action) = 0;
    virtual void answer(const answer_stored& action) = 0;
    virtual void end(const end_request& action) = 0;
    virtual void wake(const wake_at& action) = 0;
};

} // namespace mangovane

#endif
