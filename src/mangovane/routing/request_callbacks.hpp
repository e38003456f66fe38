// Interface through which the flow of a request acts on its front end.
#ifndef MANGOVANE_ROUTING_REQUEST_CALLBACKS_HPP
#define MANGOVANE_ROUTING_REQUEST_CALLBACKS_HPP

#include "mangovane/routing/flow_event.hpp"

namespace mangovane
{

/// Implemented by a front end, with one object per request. Functions may be called from any
/// thread, never under a lock of the coordinator, and must not block. Results are returned through
/// `coordinator::on_event`.
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
