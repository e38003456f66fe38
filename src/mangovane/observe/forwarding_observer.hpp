// Base of request observers that add something to another observer.
#ifndef MANGOVANE_OBSERVE_FORWARDING_OBSERVER_HPP
#define MANGOVANE_OBSERVE_FORWARDING_OBSERVER_HPP

#include <string_view>

#include "mangovane/observe/request_record.hpp"

namespace mangovane
{

/// Passes on all events. A derived class overrides those that it needs, and calls the function of
/// this class in them.
class forwarding_observer : public request_observer
{
public:
    /// `next` must outlive the observer.
    explicit forwarding_observer(request_observer& next) : next_{next} {}

    void on_request_end(const request_record& record) override { next_.on_request_end(record); }
    void on_early_refusal(error_kind kind) override { next_.on_early_refusal(kind); }
    void on_dropped_answer() override { next_.on_dropped_answer(); }
    void on_failed_attempt(std::string_view result) override { next_.on_failed_attempt(result); }
    void on_caller_stall() override { next_.on_caller_stall(); }
    void on_session_end(std::string_view reason) override { next_.on_session_end(reason); }
    void on_request_cut(const cut_request& cut) override { next_.on_request_cut(cut); }

private:
    request_observer& next_;
};

} // namespace mangovane

#endif
