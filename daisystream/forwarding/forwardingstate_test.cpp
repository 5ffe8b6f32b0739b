#include "daisystream/forwarding/forwardingstate.h"

#include "daisystream/base/random.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

constexpr AnswerStream kStream{.resumable = false};
constexpr AnswerStream kResumableStream{.resumable = true};

TEST_CASE("an unsafe call is sent again only if the endpoint stated that it did not execute it")
{
    ForwardingState state(UnsafeCall{}, 3);
    CHECK(state.mayRetry());
    CHECK(state.failureOutcome() == FailureOutcome::NotRun);
    state.onSent();
    CHECK_FALSE(state.mayRetry());
    CHECK(state.failureOutcome() == FailureOutcome::OutcomeUnknown);
    state.onAttemptEnded(AttemptEnd::ProvenNotRun);
    CHECK(state.mayRetry());
    CHECK(state.failureOutcome() == FailureOutcome::NotRun);
    state.onSent();
    state.onAttemptEnded(AttemptEnd::MayHaveRun);
    CHECK_FALSE(state.mayRetry());
    CHECK(state.failureOutcome() == FailureOutcome::OutcomeUnknown);
}

TEST_CASE("a safe call is sent again up to its limit of attempts")
{
    ForwardingState state(SafeCall{}, 2);
    state.onSent();
    state.onAttemptEnded(AttemptEnd::Answered);
    CHECK(state.mayRetry());
    state.onSent();
    state.onAttemptEnded(AttemptEnd::ProvenNotRun);
    CHECK_FALSE(state.mayRetry());
    CHECK(state.failureOutcome() == FailureOutcome::OutcomeUnknown); // The first attempt was executed.
}

TEST_CASE("a response that was delivered in part is continued and never started again")
{
    ForwardingState resumable(kResumableStream, 2);
    resumable.onSent();
    resumable.onDelivered();
    CHECK_FALSE(resumable.mayRetry());
    CHECK(resumable.mayContinue());
    resumable.onSent();
    CHECK_FALSE(resumable.mayContinue());
    ForwardingState other(kStream, 2);
    other.onSent();
    other.onDelivered();
    CHECK_FALSE(other.mayRetry());
    CHECK_FALSE(other.mayContinue());
    CHECK(other.failureOutcome() == FailureOutcome::OutcomeUnknown);
}

/// Runs one random sequence of attempts against an endpoint model that counts executions.
/// @return the first violated rule; empty if there is none.
std::string violatedRule(std::uint64_t seed, internal::ForwardingFaults faults)
{
    Random random(seed);
    const std::vector<RequestKind> kinds{SafeCall{}, UnsafeCall{}, kStream, kResumableStream};
    const RequestKind kind = kinds[random.below(kinds.size())];
    const auto limit = static_cast<std::uint32_t>(1 + random.below(3));
    ForwardingState state(kind, limit, faults);
    std::uint32_t executions = 0;
    std::uint32_t sent = 0;
    while (state.mayRetry() || state.mayContinue()) {
        const bool isContinuation = state.mayContinue();
        if (random.below(5) == 0) {
            state.onAttemptEnded(AttemptEnd::NotSent);
            if (random.below(2) == 0) {
                break;
            }
            continue;
        }
        state.onSent();
        ++sent;
        const auto outcome = random.below(4);
        executions += outcome == 0 ? 0 : 1;
        if (executions > 1 && !isIdempotent(kind)) {
            return "executed twice";
        }
        if (sent > limit) {
            return "sent to too many endpoints";
        }
        const bool isStream = std::holds_alternative<AnswerStream>(kind);
        if (outcome == 0) {
            state.onAttemptEnded(AttemptEnd::ProvenNotRun);
        } else if (outcome == 1 && isStream) {
            state.onDelivered();
            state.onAttemptEnded(AttemptEnd::MayHaveRun);
            if (state.mayRetry()) {
                return "started a delivered response again";
            }
        } else {
            state.onAttemptEnded(outcome == 2 ? AttemptEnd::Answered : AttemptEnd::MayHaveRun);
        }
        if (isContinuation && state.mayRetry()) {
            return "started a delivered response again";
        }
    }
    return state.failureOutcome() == FailureOutcome::NotRun && executions > 0 ? "reported an executed request as not run" : "";
}

TEST_CASE("no random sequence of attempts violates a rule, and each injected fault is detected")
{
    constexpr std::uint64_t kSeeds = 2000;
    const auto failures = [](internal::ForwardingFaults faults) {
        std::uint64_t count = 0;
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            const auto violation = violatedRule(seed, faults);
            count += violation.empty() ? 0 : 1;
        }
        return count;
    };
    CHECK(failures({}) == 0);
    CHECK(failures({.repeatUnsafe = true}) > 0);
    CHECK(failures({.forgetSentAttempts = true}) > 0);
    CHECK(failures({.ignoreAttemptLimit = true}) > 0);
    CHECK(failures({.repeatAfterDelivery = true}) > 0);
}

} // namespace
} // namespace daisystream
