// Interface through which a request flow obtains endpoints and retries from its instance.
#ifndef MANGOVANE_FORWARD_ENDPOINT_CHOOSER_HPP
#define MANGOVANE_FORWARD_ENDPOINT_CHOOSER_HPP

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>

#include "mangovane/admission/admission_request.hpp"
#include "mangovane/core/error_kind.hpp"
#include "mangovane/forward/endpoint_record.hpp"
#include "mangovane/forward/forward_request.hpp"
#include "mangovane/quarantine/part_record.hpp"
#include "mangovane/rollout/version_choice.hpp"

namespace mangovane
{

/// The endpoint chosen for an attempt, with the figures the choice was based on.
struct dispatch_target
{
    endpoint_id endpoint;
    std::string name;     ///< Name of the endpoint; it rejects requests addressed to another name.
    std::string address;  ///< `ip:port`
    incarnation epoch{0}; ///< Incarnation of the endpoint that was chosen.
    std::string prefix_source; ///< `ip:port` of an endpoint that should hold the prefix in its
                               ///< cache; empty: none.
    /// Requests in flight at the endpoint when it was chosen, over all instances.
    std::uint32_t load{0};
    std::uint32_t load_limit{0};         ///< Load bound in force for the choice.
    std::uint32_t eligible_endpoints{0}; ///< Number of endpoints that were eligible.
    store_revision settings_version;     ///< Version of the settings used for the choice.
    std::string version;                 ///< Version of the endpoint; empty: unknown.
    endpoint_load known;                 ///< What was known of its load, with the age.

    bool operator==(const dispatch_target&) const = default;
};

/// Why no endpoint was chosen.
struct choice_refusal
{
    error_kind kind{error_kind::no_endpoint};
    time_point retry_at{};               ///< When the caller may try again; zero: unknown.
    std::optional<part_verdict> verdict; ///< Why, if a part of the prompt is quarantined.

    auto operator<=>(const choice_refusal&) const = default;
};

/// The chosen endpoint, or why there is none.
class dispatch_choice
{
public:
    dispatch_choice(dispatch_target target) : result_{std::move(target)} {}
    dispatch_choice(choice_refusal refusal = {}) : result_{refusal} {}

    [[nodiscard]] bool has_value() const noexcept
    {
        return std::holds_alternative<dispatch_target>(result_);
    }
    [[nodiscard]] explicit operator bool() const noexcept { return has_value(); }

    /// Only if there is a value.
    [[nodiscard]] const dispatch_target& operator*() const { return std::get<0>(result_); }
    [[nodiscard]] const dispatch_target* operator->() const { return &std::get<0>(result_); }

    /// Only if there is no value.
    [[nodiscard]] const choice_refusal& refusal() const { return std::get<1>(result_); }

    bool operator==(const dispatch_choice&) const = default;

private:
    std::variant<dispatch_target, choice_refusal> result_;
};

/// What an endpoint is chosen for.
enum class choice_purpose : std::uint8_t
{
    dispatch, ///< The request is at no endpoint.
    /// To replace a running attempt that makes no progress: only an endpoint that can be expected
    /// to start the request at once.
    replacement,
};

class endpoint_chooser
{
public:
    virtual ~endpoint_chooser() = default;

    /// Whether the request may be sent now, before its first attempt. Without admission, each one
    /// may.
    [[nodiscard]] virtual admission_answer ask_admission(const forward_request& /*request*/,
                                                         time_point /*now*/)
    {
        return {};
    }

    /// The wait that `ask_admission` advised has ended with an outcome, or because the caller or
    /// this instance ends the request, which frees its place.
    virtual void
    on_wait_ended(const forward_request& /*request*/, std::uint64_t /*ticket*/, time_point /*now*/)
    {}

    /// The wait has ended without an outcome, as the request cannot wait longer. Frees its place
    /// and returns the refusal.
    [[nodiscard]] virtual admission_decision
    expire_wait(const forward_request& /*request*/, std::uint64_t /*ticket*/, time_point /*now*/)
    {
        return {};
    }

    /// Records the time that the complete response of the last attempt has taken.
    virtual void on_delivered(const forward_request& /*request*/, duration /*time*/) {}

    /// Chooses an endpoint and counts the attempt as started there. Endpoints in `excluded` are not
    /// chosen.
    [[nodiscard]] virtual dispatch_choice choose(const forward_request& request,
                                                 std::span<const endpoint_id> excluded,
                                                 choice_purpose purpose,
                                                 time_point now) = 0;

    /// Records the end of an attempt that `choose` started.
    virtual void finish(endpoint_id endpoint, health_outcome outcome, time_point now) = 0;

    /// Records, before `finish`, that the request no longer holds its tokens at the endpoint.
    /// Without a count of tokens there is nothing to record.
    virtual void on_tokens_released(endpoint_id /*endpoint*/, const token_counts& /*tokens*/) {}

    /// Records, beside `finish`, the end of an attempt at a version of the service, and what it has
    /// shown of the version, if anything. Without rollouts there is nothing to record.
    virtual void on_version_ended(const version_attempt& /*attempt*/,
                                  const std::optional<version_response>& /*response*/,
                                  time_point /*now*/)
    {}

    /// Records that an endpoint has survived the request.
    virtual void on_survived(const forward_request& request, time_point now) = 0;

    /// Records that an endpoint, in the incarnation that was chosen, crashed before it had survived
    /// the request. Returns whether the request may be sent again: no part of its prompt is
    /// suspected of another crash.
    [[nodiscard]] virtual bool on_crash(const forward_request& request,
                                        endpoint_id endpoint,
                                        incarnation epoch,
                                        time_point now) = 0;

    /// Takes one retry from the budget of the service; false when the budget is exhausted.
    [[nodiscard]] virtual bool try_retry(service_id service, time_point now) = 0;
};

} // namespace mangovane

#endif
