#pragma once

#include "daisystream/routes/routetable.h"

#include <compare>
#include <cstdint>
#include <optional>

/// @file
/// What may still be done with a request that is forwarded to an endpoint, and what may be said when it is given up.
///
/// Example:
/// @code
///   ForwardingState state(route.kind, route.attempts);
///   state.onSent();
///   state.onAttemptEnded(AttemptEnd::ProvenNotRun);
///   if (!state.mayTryAgain()) {
///       reply(state.givenUp());
///   }
/// @endcode

namespace daisystream
{

/// How an attempt at an endpoint ended, as far as this VM knows.
enum class AttemptEnd : std::uint8_t {
    NotSent,      ///< No byte of the request reached the endpoint.
    ProvenNotRun, ///< The endpoint states that it did not run the request and will not.
    MayHaveRun,   ///< The connection ended, or time ran out, without an answer.
    Answered,     ///< The endpoint gave an answer of its own, good or bad.
};

/// What a caller may be told about a request that is given up.
enum class GivenUp : std::uint8_t {
    NotRun,         ///< The request has not run and will not: the caller may send it again.
    OutcomeUnknown, ///< It may have run.
};

namespace internal
{

/// Deliberate breaks for the tests, which must notice each of them. None in the product.
struct ForwardingFaults
{
    bool repeatUnsafe = false;
    bool forgetSentAttempts = false;
    bool ignoreAttemptLimit = false;
    bool repeatAfterDelivery = false;
};

} // namespace internal

/// One request. Facts go in, permissions come out. Thread-compatible.
class ForwardingState
{
public:
    /// @param attempts endpoints to which the request may be sent.
    ForwardingState(const RequestKind &kind, std::uint32_t attempts, internal::ForwardingFaults faults = {});

    /// A byte of the request may have reached an endpoint.
    void onSent();

    /// The attempt that was sent last has ended.
    void onAttemptEnded(AttemptEnd end);

    /// A part of the answer was delivered to the caller.
    void onDelivered();

    /// @return whether the request may be sent to another endpoint from its beginning.
    [[nodiscard]] bool mayTryAgain() const;

    /// @return whether another run may continue the answer after what was delivered.
    [[nodiscard]] bool mayContinue() const;

    /// @return what may be said if the request is given up now.
    [[nodiscard]] GivenUp givenUp() const;

    /// @return endpoints to which the request was sent.
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
