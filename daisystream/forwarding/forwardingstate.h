#pragma once

#include "daisystream/routes/routetable.h"

#include <compare>
#include <cstdint>
#include <optional>

/// @file
/// Decides, for one request that is forwarded to endpoints, whether it may be sent again, and what the caller may be told if the
/// request fails.
///
/// Example:
/// @code
///   ForwardingState state(route.kind, route.attempts);
///   state.onSent();
///   state.onAttemptEnded(AttemptEnd::ProvenNotRun);
///   if (!state.mayRetry()) {
///       reply(state.failureOutcome());
///   }
/// @endcode

namespace daisystream
{

/// Result of sending a request to one endpoint, as far as this VM knows.
enum class AttemptEnd : std::uint8_t {
    NotSent,      ///< No byte of the request reached the endpoint.
    ProvenNotRun, ///< The endpoint stated that it did not execute the request and will not.
    MayHaveRun,   ///< The connection ended, or a timeout passed, without a valid response.
    Answered,     ///< The endpoint responded itself, with success or an error.
};

/// What a caller may be told about a failed request.
enum class FailureOutcome : std::uint8_t {
    NotRun,         ///< The request was not executed and will not be, so the caller may send it again.
    OutcomeUnknown, ///< The request may have been executed.
};

namespace internal
{

/// Faults that the tests inject and must detect. All are off in production.
struct ForwardingFaults
{
    bool repeatUnsafe = false;        ///< Requests that are not idempotent are sent again like idempotent ones.
    bool forgetSentAttempts = false;  ///< A request counts as not executed although it was sent.
    bool ignoreAttemptLimit = false;  ///< The limit of attempts is not applied.
    bool repeatAfterDelivery = false; ///< A request is sent again after a part of the response was delivered.
};

} // namespace internal

/// State of one forwarded request. The `on` functions record what happened to it; the others return what is permitted next.
/// Thread-compatible.
class ForwardingState
{
public:
    /// @param kind decides whether the request may be executed more than once.
    /// @param attempts maximum number of endpoints to which the request may be sent.
    /// @param faults injected faults; none outside of tests.
    ForwardingState(const RequestKind &kind, std::uint32_t attempts, internal::ForwardingFaults faults = {});

    /// Records that a byte of the request may have reached an endpoint.
    void onSent();

    /// Records the result of the latest attempt.
    void onAttemptEnded(AttemptEnd end);

    /// Records that a part of the response was delivered to the caller.
    void onDelivered();

    /// @return whether the request may be sent to another endpoint to be executed from its beginning.
    [[nodiscard]] bool mayRetry() const;

    /// @return whether the request may be sent to another endpoint that continues the response after its delivered part.
    [[nodiscard]] bool mayContinue() const;

    /// @return what the caller may be told if the request fails now.
    [[nodiscard]] FailureOutcome failureOutcome() const;

    /// @return the number of endpoints to which the request was sent.
    [[nodiscard]] std::uint32_t sent() const
    {
        return sent_;
    }

private:
    bool idempotent_;
    bool resumable_;
    std::uint32_t attempts_;
    internal::ForwardingFaults faults_;
    std::uint32_t sent_ = 0;
    std::uint32_t provenNotRun_ = 0;
    bool delivered_ = false;
};

} // namespace daisystream
